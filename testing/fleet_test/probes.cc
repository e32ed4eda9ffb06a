// Bad input, workers that answer oddly, and lies that callers must see.
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "config/description/description.h"
#include "testing/fleet_test/fleet_test.h"

namespace pipit {

int FleetTest::lies() {
  struct Lie {
    char const* kind;
    char const* point;  // in the callers' report; empty for none
  };
  Lie const list[] = {{"", ""},        {"skip", "N3"},     {"repeat", "N3"}, {"order", "N3"},
                      {"join", "N3"},  {"early", "N3"},    {"noend", "N3"},  {"twice", "N3"},
                      {"after", "N3"}, {"othertag", "N4"}, {"ghost", "N4"},  {"err200", "N4"}};
  Actor& worker = actors["w1"];
  start(worker);
  std::string const address = rows["w1"].address;
  std::ofstream(plan.folder + "/doors") << address << "\n";
  int missed = 0;
  for (Lie const& lie : list) {
    until(seconds(10), [this, &address, &lie] {
      bool good = false;
      return fetch("GET", address, std::string("/odd?times=1000000&kind=") + lie.kind, "", "", &good), good;
    });
    Actor callers;
    callers.name = "load_generator";
    callers.args = {"load_generator",
                    "--shape",
                    shape.name,
                    "--entries",
                    plan.folder + "/doors",
                    "--books",
                    plan.folder + "/books",
                    "--out",
                    plan.folder + "/load_generator.json",
                    "--rate",
                    "20",
                    "--seconds",
                    "1.5",
                    "--seed",
                    std::to_string(++turn)};
    std::filesystem::remove(plan.folder + "/load_generator.json");
    actors["load_generator"] = callers;
    start(actors["load_generator"]);
    until(seconds(60), [this] { return actors["load_generator"].pid == 0; });
    std::ifstream report(plan.folder + "/load_generator.json");
    std::string text;
    std::getline(report, text);
    std::size_t const at = text.find("\"faults\":");
    std::string const found = at == std::string::npos ? "no report" : text.substr(at);
    std::string const want = *lie.point == '\0' ? "{}" : std::string("\"") + lie.point + "\"";
    bool const good = found.find(want) != std::string::npos;
    std::printf("%s %s: %s\n", good ? "seen" : "MISSED", *lie.kind == '\0' ? "an honest worker" : lie.kind,
                found.c_str());
    if (!good) ++missed;
  }
  std::printf("%s\n", missed == 0 ? "PASS" : "FAIL");
  return missed == 0 ? 0 : 1;
}

void FleetTest::probe() {
  std::string const http = actors["p2"].address + ":7080";
  std::string const tag = "probe-bad";
  auto const expect = [this](std::string const& what, Got const& got, unsigned status,
                             std::string const& expected_text) {
    ++probes;
    if (got.status != status || got.body.find(expected_text) == std::string::npos)
      fault("probe", what + " was answered " + std::to_string(got.status) + " " + got.body.substr(0, 200));
  };
  std::string const path = "/v1/chat/completions";
  std::string const turns = "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]";
  expect("broken JSON", fetch("POST", http, path, "{\"model\":", ""), 400, "bad_json");
  expect("no object", fetch("POST", http, path, "[]", ""), 400, "bad_request");
  expect("no model", fetch("POST", http, path, "{" + turns + "}", ""), 400, "$.model");
  expect("no messages", fetch("POST", http, path, "{\"model\":\"tribute\"}", ""), 400, "$.messages");
  expect("odd stream", fetch("POST", http, path, "{\"model\":\"tribute\",\"stream\":3," + turns + "}", ""), 400,
         "$.stream");
  expect("unknown model", fetch("POST", http, path, "{\"model\":\"none\",\"user\":\"" + tag + "\"," + turns + "}", ""),
         404, "unknown_model");
  expect("no lane", fetch("POST", http, path, "{\"model\":\"tribute\",\"user\":\"" + tag + "\"," + turns + "}", ""),
         404, "unknown_lane");
  expect("too large", fetch("POST", http, path, std::string(5u << 20, 'x'), ""), 413, "too_large");
  expect("a read", fetch("GET", http, path, "", ""), 405, "bad_method");
  expect("a keeper", fetch("POST", actors["k1"].address + ":7080", path, "{}", ""), 404, "not_found");
  expect("no path", fetch("GET", http, "/nowhere", "", ""), 404, "not_found");
  std::string const text = description_of(shape, 1);
  expect("no serial", fetch("PUT", http, "/v1/description", text, ""), 400, "If-Match");
  expect("an old serial", fetch("PUT", http, "/v1/description", text, "0"), 409, "the present serial is 1");
  expect("broken text", fetch("PUT", http, "/v1/description", "{\"format\":1,\n\"pools\":[}", "1"), 400,
         "line 2, column 10");
  expect("a dangling name",
         fetch("PUT", http, "/v1/description",
               "{\"format\":1,\"pools\":[],\"lanes\":[{\"name\":\"l\",\"binding\":\"match always; pool q\"}]}", "1"),
         400, "$.lanes[0].binding");
  expect("a large text", fetch("PUT", http, "/v1/description", std::string(description_limit + 100, ' '), "1"), 413,
         "too_large");
  expect("an unknown zone", fetch("POST", http, "/v1/zones/moon/empty", "", ""), 404, "unknown_zone");
  expect("an unknown change", fetch("GET", http, "/v1/changes/none", "", ""), 404, "unknown_change");
  struct Odd {
    char const* kind;
    bool stream;
    unsigned status;
    char const* expected_text;
  };
  Odd const odds[] = {{"type", false, 502, "worker_wrong"},      {"type", true, 502, "worker_wrong"},
                      {"torn", false, 502, "\"ran\":\"yes\""},   {"torn", true, 200, "answer_torn"},
                      {"noend", true, 200, "answer_torn"},       {"otherid", false, 502, "worker_wrong"},
                      {"otherid", true, 502, "worker_wrong"},    {"redirect", false, 502, "worker_wrong"},
                      {"subid", false, 502, "worker_wrong"},     {"subid", true, 502, "worker_wrong"},
                      {"joinid", true, 200, "answer_torn"},      {"err200", false, 502, "worker_wrong"},
                      {"err200", true, 502, "worker_wrong"},     {"twice", true, 200, "answer_torn"},
                      {"after", true, 200, "answer_torn"},       {"429", false, 503, "\"ran\":\"no\""},
                      {"503after", true, 503, "\"ran\":\"no\""}, {"503", false, 502, "\"ran\":\"unknown\""},
                      {"500", true, 502, "\"ran\":\"unknown\""}};
  for (Odd const& odd : odds) {
    for (std::pair<std::string const, Row> const& row : rows)
      fetch("GET", row.second.address, std::string("/odd?times=1&kind=") + odd.kind, "", "");
    std::string const lane = shape.kinds[odd.stream ? 0 : 1].lane;
    Got const got = fetch("POST", http, path,
                          "{\"model\":\"tribute\",\"user\":\"" + lane + "-odd\",\"max_tokens\":4,\"stream\":" +
                              (odd.stream ? "true" : "false") + "," + turns + "}",
                          "");
    // A broken stream begins with 200 and ends in an error event; that its body was cut is the callers' to judge.
    expect(std::string("odd ") + odd.kind, got, odd.status, odd.expected_text);
  }
  for (std::pair<std::string const, Row> const& row : rows)
    fetch("GET", row.second.address, "/odd?times=0&kind=", "", "");
  for (RunRecord const& line : read_run_records(plan.folder + "/books"))
    if (line.tag.rfind(tag, 0) == 0) fault("probe", "bad input reached " + line.worker);
  std::printf("%d probes were answered\n", probes);
}

}  // namespace pipit
