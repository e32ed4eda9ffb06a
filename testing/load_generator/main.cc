// load_generator: many callers, who judge every answer they get against what the workers wrote down (§10.2).
#include <simdjson.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/flags.h"
#include "base/hash.h"
#include "base/json_writer.h"
#include "base/random.h"
#include "routing/chat/event_splitter.h"
#include "testing/common/run_records.h"
#include "testing/common/caller.h"
#include "testing/common/shapes.h"

namespace pipit {
namespace {

namespace options = boost::program_options;

Micros now() { return g_get_monotonic_time(); }

struct Plan {
  std::string shape = "coop";
  std::string entries;
  std::string run_records;
  std::string out;
  double rate = 90;
  double seconds = 20;
  double hot = 0;
  std::uint64_t seed = 1;
  double patience = 15;
};

struct Attempt {
  std::string tag;
  bool safe = false;
  std::string outcome;  // "no", "unknown", "yes" or "done"
  std::string run;
  std::int64_t chunks = 0;
};

struct Quantiles {
  std::vector<Micros> all;
  void add(Micros t) { all.push_back(t); }
  Micros at(double q) {
    if (all.empty()) return 0;
    std::sort(all.begin(), all.end());
    return all[std::min(all.size() - 1, static_cast<std::size_t>(q * static_cast<double>(all.size())))];
  }
};

class LoadGenerator {
 public:
  explicit LoadGenerator(Plan plan_) : plan(std::move(plan_)), shape(*shape_of(plan.shape)), random(plan.seed) {
    loop = g_main_loop_new(nullptr, FALSE);
    for (RequestKind const& request_kind : shape.kinds)
      for (int i = 0; i < request_kind.weight; ++i) wheel.push_back(&request_kind);
  }

  int run() {
    begin = now();
    read_entries();
    next_at = begin;
    g_timeout_add(4, on_tick, this);
    g_timeout_add(500, on_entries, this);
    g_main_loop_run(loop);
    return judge();
  }

 private:
  struct Call {  // one caller's wish; it may take several attempts
    LoadGenerator* host = nullptr;
    std::uint64_t number = 0;
    RequestKind const* request_kind = nullptr;
    std::string prompt;
    Micros arrived_at = 0;
    int attempts = 0;
  };
  struct CallAttempt {
    LoadGenerator* host = nullptr;
    std::unique_ptr<Call> call;
    std::size_t attempt = 0;
    Caller connection;
    Micros sent = 0;
    EventSplitter chunks;
    std::int64_t seen = 0;
    bool done = false;
    bool error = false;
    std::string complete;
  };

  void read_entries() {
    std::ifstream file(plan.entries);
    std::string line;
    std::vector<std::string> fresh;
    while (std::getline(file, line))
      if (!line.empty()) fresh.push_back(line);
    if (!fresh.empty()) doors = fresh;
  }

  static gboolean on_entries(gpointer self) {
    static_cast<LoadGenerator*>(self)->read_entries();
    return G_SOURCE_CONTINUE;
  }

  static gboolean on_tick(gpointer self) {
    LoadGenerator& host = *static_cast<LoadGenerator*>(self);
    Micros const t = now();
    Micros const end = host.begin + static_cast<Micros>(host.plan.seconds * 1e6);
    while (host.next_at <= t && host.next_at < end) {
      host.fresh();
      host.next_at +=
          static_cast<Micros>(1e6 / host.plan.rate * (0.5 + static_cast<double>(host.random.below(1000)) / 1000.0));
    }
    if (t < end) return G_SOURCE_CONTINUE;
    if (host.open == 0 || t > end + seconds(40)) {
      g_main_loop_quit(host.loop);
      return G_SOURCE_REMOVE;
    }
    return G_SOURCE_CONTINUE;
  }

  void fresh() {
    std::unique_ptr<Call> call = std::make_unique<Call>();
    call->host = this;
    call->number = ++calls;
    call->request_kind = wheel[random.below(wheel.size())];
    bool const hot = random.chance(plan.hot);
    // A few openings are asked for much more often than others.
    std::uint64_t const a = random.below(static_cast<std::uint64_t>(call->request_kind->openings));
    std::uint64_t const b = random.below(static_cast<std::uint64_t>(call->request_kind->openings));
    std::uint64_t const pick = hot ? 0 : std::min(a, b);
    call->prompt = filler(hash_text(call->request_kind->lane) + pick, call->request_kind->opening) + " #" +
                   std::to_string(call->number) + " " +
                   filler(plan.seed * 1000003 + call->number, call->request_kind->tail);
    call->arrived_at = now();
    ++open;
    send(std::move(call));
  }

  void send(std::unique_ptr<Call> call) {
    CallAttempt* const item = new CallAttempt;
    item->host = this;
    item->attempt = attempts.size();
    Attempt note;
    note.tag = call->request_kind->lane + "-" + std::to_string(plan.seed) + "-" + std::to_string(call->number) + "." +
               std::to_string(call->attempts++);
    note.safe = call->request_kind->safe;
    attempts.push_back(note);
    JsonWriter json;
    json.begin_object()
        .key("model")
        .text("tribute")
        .key("user")
        .text(note.tag)
        .key("max_tokens")
        .number(call->request_kind->chunks)
        .key("stream")
        .boolean(call->request_kind->stream);
    json.key("messages")
        .begin_list()
        .begin_object()
        .key("role")
        .text("user")
        .key("content")
        .text(call->prompt)
        .end_object()
        .end_list()
        .end_object();
    std::string const body = json.take();
    std::string const door = doors[random.below(doors.size())];
    item->sent = now();
    item->call = std::move(call);
    item->connection.on_body = [item](std::string_view bytes) {
      if (item->connection.status == 200 && item->call->request_kind->stream) {
        item->chunks.feed(bytes);
        item->host->stream(*item);
      } else {
        item->complete += bytes;
      }
    };
    item->connection.on_end = [item](Caller::End end) {
      if (end == Caller::End::unopened || item->connection.status == 0)
        return item->host->lost(item, end != Caller::End::unopened);
      item->host->over(*item, end == Caller::End::complete, item->connection.status == 200);
    };
    item->connection.post(door, "/v1/chat/completions", body);
  }

  void fault(char const* point, std::string const& what) {
    ++faults[point];
    if (faults[point] <= 5) std::fprintf(stderr, "FAULT %s %s\n", point, what.c_str());
  }

  // Each piece says whose it is, of which run, and which one of how many.
  void stream(CallAttempt& item) {
    Attempt& note = attempts[item.attempt];
    std::string event;
    while (item.chunks.next(event)) {
      if (event.rfind("event: error", 0) == 0) {
        item.error = true;
        item.complete = event_data(event);
        continue;
      }
      std::string const text = event_data(event);
      if (item.error || item.done) fault("N3", note.tag + ": something after the end");
      if (text == "[DONE]") {
        item.done = true;
        continue;
      }
      if (item.seen == 0) first_token.add(now() - item.sent);
      simdjson::dom::parser parser;
      simdjson::dom::element root;
      std::string_view content;
      if (parser.parse(simdjson::padded_string(text)).get(root) ||
          root["choices"].at(0)["delta"]["content"].get_string().get(content)) {
        fault("N4", note.tag + ": a piece that is none");
        continue;
      }
      chunk(item, note, std::string(content));
    }
  }

  void chunk(CallAttempt& item, Attempt& note, std::string const& content) {
    std::size_t const a = content.find('|');
    std::size_t const b = content.find('|', a + 1);
    std::size_t const c = content.find('|', b + 1);
    std::string const tag = content.substr(0, a);
    std::string const run = content.substr(a + 1, b - a - 1);
    std::int64_t const at = std::atoll(content.substr(b + 1, c - b - 1).c_str());
    if (tag != note.tag) fault("N4", note.tag + " got a piece of " + tag);
    if (note.run.empty()) note.run = run;
    if (note.run != run) fault("N3", note.tag + " joins " + note.run + " and " + run);
    if (at != item.seen)
      fault("N3", note.tag + " got piece " + std::to_string(at) + " for " + std::to_string(item.seen));
    ++item.seen;
  }

  void over(CallAttempt& item, bool complete, bool good) {
    Attempt& note = attempts[item.attempt];
    note.chunks = item.seen;
    Micros const took = now() - item.sent;
    if (good && !item.call->request_kind->stream && complete) {
      simdjson::dom::parser parser;
      simdjson::dom::element root;
      std::string_view content;
      std::string const want = std::to_string(item.call->request_kind->chunks);
      if (parser.parse(simdjson::padded_string(item.complete)).get(root) ||
          root["choices"].at(0)["message"]["content"].get_string().get(content)) {
        fault("N4", note.tag + ": an answer that is none");
      } else {
        std::string const text(content);
        if (text.rfind(note.tag + "|", 0) != 0 || text.substr(text.rfind('|') + 1) != want)
          fault("N4", note.tag + " got " + text);
        note.run = text.substr(note.tag.size() + 1, text.rfind('|') - note.tag.size() - 1);
      }
      note.outcome = "done";
      ++done;
      complete_time.add(took);
      return finish(&item);
    }
    if (good && item.call->request_kind->stream && complete && item.done && !item.error) {
      if (item.seen != item.call->request_kind->chunks)
        fault("N3", note.tag + " looks finished after " + std::to_string(item.seen));
      note.outcome = "done";
      ++done;
      return finish(&item);
    }
    if (good && complete && !item.error) {
      fault("N3", note.tag + ": a body that ends well, without its end");
      return finish(&item);
    }
    if (good && complete && item.error) fault("N3", note.tag + ": a broken stream whose body ends well");
    simdjson::dom::parser parser;
    simdjson::dom::element root;
    std::string_view run_state;
    std::string_view kind;
    if (item.complete.empty() || parser.parse(simdjson::padded_string(item.complete)).get(root) ||
        root["error"]["ran"].get_string().get(run_state) || root["error"]["kind"].get_string().get(kind))
      return lost(&item, true);
    note.outcome = run_state;
    ++answers[std::string(kind)];
    if (run_state == "no") {
      refusal.add(took);
      bool const after = item.connection.head.count("retry-after") > 0;
      if (!after) fault("contract", note.tag + ": refused without a time to come back");
      Micros const wait = seconds(after ? std::max(1, std::atoi(item.connection.head["retry-after"].c_str())) : 1);
      if (now() + wait - item.call->arrived_at < static_cast<Micros>(plan.patience * 1e6)) return retry(&item, wait);
      ++refused;
    } else {
      ++failed;
    }
    finish(&item);
  }

  // No answer: the caller knows nothing, unless the connection could not even be opened.
  void lost(CallAttempt* item, bool left) {
    Attempt& note = attempts[item->attempt];
    note.outcome = left ? "lost" : "no";
    bool const patient = now() + seconds(1) - item->call->arrived_at < static_cast<Micros>(plan.patience * 1e6);
    if (patient && (!left || note.safe)) {
      ++retried;
      return retry(item, millis(200));
    }
    ++lost_calls;
    finish(item);
  }

  // Deleted from the loop: its own handler is still on the stack.
  void clear(CallAttempt* item) {
    g_idle_add(
        [](gpointer data) -> gboolean {
          delete static_cast<CallAttempt*>(data);
          return G_SOURCE_REMOVE;
        },
        item);
  }

  void retry(CallAttempt* item, Micros wait) {
    Call* const call = item->call.release();
    clear(item);
    g_timeout_add(
        static_cast<guint>(wait / 1000),
        [](gpointer data) -> gboolean {
          std::unique_ptr<Call> call(static_cast<Call*>(data));
          LoadGenerator& host = *call->host;
          host.send(std::move(call));
          return G_SOURCE_REMOVE;
        },
        call);
  }

  void finish(CallAttempt* item) {
    --open;
    clear(item);
  }

  // Runs that workers wrote down, by the attempt that they were for.
  using RunRecords = std::map<std::string, std::vector<RunRecord>>;

  static std::int64_t count_of(std::vector<RunRecord> const& lines, char what) {
    return std::count_if(lines.begin(), lines.end(), [what](RunRecord const& line) { return line.what == what; });
  }

  // N1: what may not repeat runs once at most, over all attempts of its call.
  void check_runs_once(Attempt const& note, std::int64_t begun, std::map<std::string, std::int64_t>& runs_by_call) {
    if (note.safe) return;
    std::int64_t& sum = runs_by_call[note.tag.substr(0, note.tag.rfind('.'))];
    sum += begun;
    if (sum > 1) fault("N1", note.tag + " ran " + std::to_string(sum) + " times");
  }

  // N2 and N4: what callers were answered agrees with what the workers wrote down.
  void check_outcome(Attempt const& note, std::int64_t begun, std::int64_t ended) {
    if (note.outcome == "no" && begun > 0) fault("N2", note.tag + " was told no, and ran");
    if (note.outcome == "done" && ended == 0) fault("N4", note.tag + " was told done, and no worker ended it");
    if (note.outcome == "yes" && begun == 0) fault("N4", note.tag + " was told that it ran, and no worker began it");
  }

  // Returns how many runs the workers began.
  std::int64_t check_run_records() {
    RunRecords run_records;
    std::int64_t runs = 0;
    for (RunRecord& line : read_run_records(plan.run_records)) {
      if (line.what == 'S') ++runs;
      run_records[line.tag].push_back(line);
    }
    std::map<std::string, std::int64_t> runs_by_call;
    for (Attempt const& note : attempts) {
      std::vector<RunRecord> const& lines = run_records[note.tag];
      std::int64_t const begun = count_of(lines, 'S');
      check_runs_once(note, begun, runs_by_call);
      check_outcome(note, begun, count_of(lines, 'E'));
    }
    return runs;
  }

  static void report_quantiles(JsonWriter& json, char const* name, Quantiles& quantiles, bool with_max) {
    json.key(name).begin_object().key("p50").number(quantiles.at(0.5)).key("p99").number(quantiles.at(0.99));
    if (with_max) json.key("max").number(quantiles.at(1));
    json.end_object();
  }

  void report_calls(JsonWriter& json, std::int64_t runs) {
    json.key("calls").number(static_cast<std::int64_t>(calls));
    json.key("attempts").number(static_cast<std::int64_t>(attempts.size()));
    json.key("done").number(done);
    json.key("refused").number(refused);
    json.key("failed").number(failed);
    json.key("lost").number(lost_calls);
    json.key("unanswered").number(open);
    json.key("retried").number(retried);
    json.key("runs").number(runs);
  }

  static void report_counts(JsonWriter& json, char const* name, std::map<std::string, int> const& counts) {
    json.key(name).begin_object();
    for (std::pair<std::string const, int> const& item : counts) json.key(item.first).number(item.second);
    json.end_object();
  }

  std::string report(std::int64_t runs) {
    JsonWriter json;
    json.begin_object();
    report_calls(json, runs);
    report_quantiles(json, "first_token_us", first_token, true);
    report_quantiles(json, "whole_us", complete_time, false);
    json.key("refusals").number(static_cast<std::int64_t>(refusal.all.size()));
    report_quantiles(json, "refusal_us", refusal, true);
    report_counts(json, "answers", answers);
    report_counts(json, "faults", faults);
    json.end_object();
    return json.take();
  }

  int judge() {
    std::int64_t const runs = check_run_records();
    std::string const text = report(runs);
    std::printf("%s\n", text.c_str());
    if (!plan.out.empty()) std::ofstream(plan.out) << text << "\n";
    // A run that saw no traffic has shown nothing.
    if (done == 0) std::fprintf(stderr, "FAULT no answer was seen\n");
    if (open > 0) std::fprintf(stderr, "FAULT %lld calls were never answered\n", static_cast<long long>(open));
    int sum = 0;
    for (std::pair<std::string const, int> const& item : faults) sum += item.second;
    return sum == 0 && done > 0 && open == 0 ? 0 : 1;
  }

  Plan const plan;
  Shape const& shape;
  RandomSource random;
  GMainLoop* loop;
  std::vector<RequestKind const*> wheel;
  std::vector<std::string> doors;
  std::vector<Attempt> attempts;
  Micros begin = 0;
  Micros next_at = 0;
  std::uint64_t calls = 0;
  std::int64_t open = 0, done = 0, refused = 0, failed = 0, lost_calls = 0, retried = 0;
  Quantiles first_token;
  Quantiles complete_time;
  Quantiles refusal;
  std::map<std::string, int> faults;
  std::map<std::string, int> answers;
};

int run(int argc, char** argv) {
  Plan plan;
  options::options_description flags("load_generator: callers who judge every answer");
  flags.add_options()("shape", options::value(&plan.shape), "coop or utility")(
      "entries", options::value(&plan.entries), "a file of IP:port lines, read again as it changes")(
      "books", options::value(&plan.run_records), "the folder of the workers' books")("out", options::value(&plan.out),
                                                                                      "a file for the report")(
      "rate", options::value(&plan.rate), "requests a second")("seconds", options::value(&plan.seconds))(
      "hot", options::value(&plan.hot), "the share of one hot opening")("seed", options::value(&plan.seed))("help", "");
  std::function<void()> const print_help = [&] { std::cout << flags; };
  std::optional<int> const ended = read_flags("load_generator", argc, argv, flags, print_help);
  if (ended) return *ended;
  if (shape_of(plan.shape) == nullptr || plan.entries.empty() || plan.run_records.empty() || plan.rate <= 0 ||
      plan.rate > 2000 || plan.seconds <= 0 || plan.seconds > 900) {
    std::fprintf(stderr, "load_generator: shape, entries and books are needed; rate up to 2000; seconds up to 900\n");
    return 2;
  }
  return LoadGenerator(plan).run();
}

}  // namespace
}  // namespace pipit

int main(int argc, char** argv) { return pipit::run(argc, argv); }
