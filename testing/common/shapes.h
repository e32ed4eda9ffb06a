// The two deployments of the brief, as stand-ins see them (§10.1).
#pragma once
#include <string>
#include <vector>

#include "base/random.h"

namespace pipit {

struct RequestKind {  // one kind of request that callers send
  std::string lane;
  bool stream = true;
  bool safe = false;
  int chunks = 16;
  int opening = 4096;  // bytes that requests of one opening share
  int openings = 12;   // how many openings there are
  int tail = 200;      // bytes of its own
  int weight = 1;
};

struct Shape {
  std::string name;
  std::vector<std::string> zones;
  int replicas = 3;
  int routers = 8;
  int workers = 18;
  int cold = 8;
  std::vector<RequestKind> kinds;
};

inline Shape const* shape_of(std::string const& name) {
  static Shape const coop{"coop",
                          {"a", "b", "c", "d"},
                          4,
                          7,
                          18,
                          8,
                          {{"drafts", true, false, 40, 6144, 16, 300, 3},
                           {"captions", false, false, 6, 3072, 10, 200, 3},
                           {"live", true, true, 10, 2048, 24, 150, 4}}};
  static Shape const utility{"utility",
                             {"a", "b", "c"},
                             3,
                             9,
                             18,
                             8,
                             {{"season", true, false, 50, 8192, 10, 400, 2},
                              {"certs", false, false, 8, 2048, 12, 200, 4},
                              {"daily", true, true, 14, 4096, 20, 200, 4}}};
  if (name == "coop") return &coop;
  if (name == "utility") return &utility;
  return nullptr;
}

// The description of a shape; 'turn' varies it without changing what it means to callers.
inline std::string description_of(Shape const& shape, int turn, std::size_t size = 0) {
  std::string const wait = std::to_string(2000 + turn % 50);
  std::string out = "{\"format\":1,\n \"locality_ms\":60,\n \"pools\":[\n";
  out += "  {\"name\":\"main\",\"model\":\"tribute\",\"slots\":60,\"cold_per_second\":" + std::to_string(shape.cold) +
         ",\"cold_ms\":5000,\"cache_blocks\":2000,\"block_us\":3000,\"service_ms\":1200},\n";
  out += "  {\"name\":\"press\",\"model\":\"tribute\",\"slots\":60,\"cold_per_second\":" + std::to_string(shape.cold) +
         ",\"cold_ms\":5000,\"cache_blocks\":2000,\"block_us\":3000,\"service_ms\":800}],\n \"lanes\":[\n";
  bool first = true;
  int urgency = 3;
  for (RequestKind const& request_kind : shape.kinds) {
    if (!first) out += ",\n";
    first = false;
    std::string const pools = request_kind.opening >= 6000 ? "pool main; pool press when demand < 70%"
                                                           : "pool press when demand < 90%; pool main";
    out += "  {\"name\":\"" + request_kind.lane +
           "\",\"binding\":\"match model = \\\"tribute\\\" and user starts \\\"" + request_kind.lane + "\\\"; " +
           pools + "\",";
    out += "\"policy\":\"wait " + wait + "ms; urgency " + std::to_string(urgency) + "; repeat " +
           (request_kind.safe ? "safe" : "never") + "; backlog 200; tries 2; answer 10s; stall 8s\"}";
    urgency += 2;
  }
  // As large as asked for, by lanes that no caller uses.
  for (int i = 0; out.size() + 120 < size; ++i)
    out += ",\n  {\"name\":\"spare" + std::to_string(i) +
           "\",\"binding\":\"match user starts \\\"none\\\"; pool main\",\"policy\":\"wait 1s\"}";
  return out + "]}\n";
}

inline std::string filler(std::uint64_t seed, int size) {
  static char const* const texts[] = {"roster", "press",   "harvest", "tribute", "season", "page",   "vine",  "weigh",
                                      "school", "caption", "editor",  "cellar",  "dusk",   "bridge", "style", "guide"};
  RandomSource random(seed);
  std::string out;
  while (static_cast<int>(out.size()) < size) {
    out += texts[random.below(16)];
    out += random.below(9) == 0 ? ". " : " ";
  }
  out.resize(static_cast<std::size_t>(size));
  return out;
}

}  // namespace pipit
