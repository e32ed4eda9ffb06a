// Every numbered fault point, armed in turn in real processes (§9.2). A row of base/faults.h without a row here fails
// the tests.
#pragma once
#include <string>

namespace pipit {

struct PointPlan {
  unsigned number;
  char const* at;       // a node, or "p" for every router node
  char const* arg;      // "others": all nodes but this one
  int times;            // 0: until it is disarmed
  char const* trigger;  // what is done to make it fire, besides traffic
  int code;             // the exit code with which the process ends, -1 when it goes on
};

inline constexpr PointPlan point_plans[] = {
    {1, "p1", "others", 0, "", -1}, {2, "p1", "others", 0, "", -1},    {3, "p2", "w1,w2,w3", 0, "", -1},
    {4, "p2", "", 5, "", -1},       {5, "p2", "", 5, "", -1},          {6, "p3", "", 20, "", -1},
    {7, "p3", "", 3, "", -1},       {8, "p3", "", 3, "", -1},          {9, "p3", "", 3, "", -1},
    {10, "k2", "", 1, "apply", 3},  {11, "k1", "300", 4, "apply", -1}, {12, "k2", "", 1, "apply", 42},
    {13, "k2", "", 1, "apply", 41}, {14, "k2", "", 1, "apply", 43},    {15, "p", "", 4, "apply", -1},
    {16, "p2", "", 1, "empty", -1}, {17, "p1", "", 3, "", -1},         {18, "p", "", 1, "restart", -1},
    {19, "p", "", 2, "renew", -1},  {20, "p1", "", 2, "", -1},         {21, "k2", "", 1, "apply", 3},
    {22, "k1", "", 3, "apply", -1}, {23, "k1", "", 3, "apply", -1},
};

}  // namespace pipit
