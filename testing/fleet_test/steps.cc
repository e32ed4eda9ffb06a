#include "testing/fleet_test/steps.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace pipit {

namespace {
struct StepRow {
  std::string verb;
  std::string args;
  std::string text;
};
StepRow const rows[] = {
#define STEP(verb, args, text) {#verb, args, text},
    PIPIT_STEPS(STEP)
#undef STEP
};

Schedule const schedules[] = {
    {"calm", "", 20, "a fleet at its size, with nothing broken"},
    {"change", "4 apply; 7 empty b; 11 refill b; 13 race; 15 apply", 20, "N6 N7 N8 N9"},
    {"crash", "4 kill p1; 5 kill k2; 8 start p1; 9 start k2; 11 renew w3; 13 kill w5; 16 start w5", 22,
     "N1 N2 N3 N4 N10 N11 with crashes"},
    {"freeze",
     "4 freeze p2; 7 leave w1; 8 empty b; 9 wake p2; 12 freeze k1; 14 apply; 16 wake k1; 17 freeze w7; 19 wake w7", 24,
     "N5 N6 N7 with frozen nodes"},
    {"cut", "4 cut p1; 6 apply; 7 empty b; 9 heal; 13 split k1,k2 k3; 15 apply; 17 heal", 24, "N6 N7 N8 with cuts"},
    {"keepers", "4 cut k1; 4.5 cut k2; 5 cut k3; 8 heal; 11 blank k1; 16 apply; 18 kill k2; 20 apply; 22 start k2", 28,
     "keepers cut off together, one back empty"},
    {"release", "3 renew w1; 5 renew w2; 7 renew w3; 9 renew w4; 11 renew w5; 13 renew w6", 22,
     "N5 N11 while workers are replaced one after another"},
    {"leave", "4 leave w1; 5 gone w2; 6.4 nolist; 10 list; 12 leave w3", 20, "N5 with a list that fails"},
    {"stop", "4 stop p1; 7 start p1; 9 hup p2; 11 stop k1; 14 start k1; 16 stop p3", 22,
     "N12: a planned stop and reload drop nothing"},
    {"rolling", "2 rollall", 50, "N12: a release of every node, with callers who follow /ready and kept-alive wires"},
    {"large", "3 large 2040; 6 large 2047; 9 slow k1 300; 10 large 2040; 14 apply", 18,
     "N7 N8 with the largest descriptions, and a slow disk"},
    {"points", "2 points", 28, "every numbered fault point, each in turn"},
    {"crowd", "3 crowd 400; 6 hot 400; 9 renew w1; 9.5 crowd 400", 22,
     "N10 N11 and the gate, with crowds and one key that takes most of the load"},
    {"exchange", "4 exchange p1; 8 exchange p2; 12 exchange p3; 16 exchange p4", 24,
     "entry machines exchanged for others"},
    {"loss", "6 lossall; 8 backall", 26, "N9 N12: full loss and return"},
    {"disk", "4 slow k1 400; 6 apply; 9 nodisk k2; 10 apply; 13 start k2; 15 apply", 22,
     "N7 N9 with a slow disk and one that fails"},
    {"storm", "4 storm 12; 9 race; 12 storm 12", 20, "N7 N8 in storms of changes"},
    {"drill", "2 drill b; 14 tooth b; 16 broken b; 22 refill b", 24,
     "zone drill: passes, refuses, and puts back when interrupted"},
    {"closing", "5 apply; 17.5 apply; 18 kill p1; 18.2 kill k1; 18.5 freeze p2; 18.8 cut p3", 19,
     "N9: hit in the last second, read back after"},
};

bool among(std::vector<std::string> const& list, std::string const& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}
}  // namespace

Cast cast_of(Shape const& shape) {
  Cast out;
  for (int i = 1; i <= shape.replicas; ++i) out.replicas.push_back("k" + std::to_string(i));
  for (int i = 1; i <= shape.routers; ++i) out.routers.push_back("p" + std::to_string(i));
  for (int i = 1; i <= shape.workers; ++i) out.workers.push_back("w" + std::to_string(i));
  out.zones = shape.zones;
  return out;
}

Result<std::vector<Step>> read_steps(std::string const& text, Cast const& cast) {
  std::vector<Step> out;
  std::stringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ';')) {
    std::stringstream fields(part);
    std::string when;
    Step step;
    if (!(fields >> when)) continue;
    char* end = nullptr;
    double const seconds_at = std::strtod(when.c_str(), &end);
    if (end == when.c_str() || *end != '\0' || seconds_at < 0 || seconds_at > 900)
      return fail(ErrorCode::bad_request, "'" + when + "' is no time in seconds");
    step.at = static_cast<Micros>(seconds_at * 1e6);
    if (!(fields >> step.verb)) return fail(ErrorCode::bad_request, "a step has no verb");
    StepRow const* row = nullptr;
    for (StepRow const& item : rows)
      if (item.verb == step.verb) row = &item;
    if (row == nullptr) return fail(ErrorCode::bad_request, "there is no step '" + step.verb + "'");
    std::string arg;
    while (fields >> arg) step.args.push_back(arg);
    if (step.args.size() != row->args.size())
      return fail(ErrorCode::bad_request,
                  "'" + step.verb + "' takes " + std::to_string(row->args.size()) + " arguments");
    for (std::size_t i = 0; i < step.args.size(); ++i) {
      char const type = row->args[i];
      std::stringstream names(step.args[i]);
      std::string name;
      while (std::getline(names, name, ',')) {
        bool const replica = among(cast.replicas, name);
        bool const router = among(cast.routers, name);
        bool const worker = among(cast.workers, name);
        bool good = false;
        if (type == 'N') good = replica || router || worker;
        if (type == 'n') good = replica || router;
        if (type == 'k') good = replica;
        if (type == 'p') good = router;
        if (type == 'w') good = worker;
        if (type == 'z') good = among(cast.zones, name);
        if (type == '#')
          good = !name.empty() && name.find_first_not_of("0123456789") == std::string::npos && name.size() < 6;
        if (!good) return fail(ErrorCode::bad_request, "'" + step.verb + "' does not take '" + name + "'");
      }
    }
    out.push_back(std::move(step));
  }
  std::stable_sort(out.begin(), out.end(), [](Step const& a, Step const& b) { return a.at < b.at; });
  return out;
}

Schedule const* schedule_of(std::string const& name) {
  for (Schedule const& item : schedules)
    if (name == item.name) return &item;
  return nullptr;
}

std::string schedule_list() {
  std::string out;
  for (Schedule const& item : schedules)
    out += std::string("  ") + item.name + std::string(12 - std::string(item.name).size(), ' ') + item.proves + "\n";
  return out;
}

}  // namespace pipit
