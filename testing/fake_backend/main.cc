// fake_backend: stands in for the outside: a model worker, or the platform's list (§10.1). Test side only.
#include <libsoup/soup.h>
#include <simdjson.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <deque>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/flags.h"
#include "base/ip.h"
#include "base/json_writer.h"
#include "base/micros.h"
#include "routing/chat/chat_request_reader.h"
#include "routing/index/path.h"

namespace pipit {
namespace {

namespace options = boost::program_options;

struct Plan {
  std::string sort;
  std::string http;
  std::string id = "w";
  std::string run_record_path;
  std::uint64_t incarnation = 1;
  std::size_t slots = 60;
  std::size_t blocks = 4096;
  Micros block = 3000;
  Micros chunk = 20000;
  Micros report = 1000000;
  Micros lag = 700000;
};

Micros now() { return g_get_monotonic_time(); }

// What the worker really keeps: blocks, least lately used first out.
class Cache {
 public:
  explicit Cache(std::size_t most_) : most(most_) {}
  std::size_t read(Path const& path) {
    std::size_t hit = 0;
    while (hit < path.size() && where.count(path[hit])) ++hit;
    for (std::size_t i = path.size(); i-- > 0;) {
      std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>::iterator const position =
          where.find(path[i]);
      if (position != where.end()) order.erase(position->second);
      order.push_back(path[i]);
      where[path[i]] = std::prev(order.end());
    }
    while (order.size() > most) {
      where.erase(order.front());
      order.pop_front();
    }
    return hit;
  }

 private:
  std::size_t const most;
  std::list<std::uint64_t> order;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> where;
};

class Worker {
 public:
  explicit Worker(Plan plan_) : plan(std::move(plan_)), cache(plan.blocks), woke(now()) {
    if (!plan.run_record_path.empty()) run_record_file = std::fopen(plan.run_record_path.c_str(), "a");
    write("W", std::to_string(plan.incarnation), 0);
  }

  void serve(SoupServer* server) {
    soup_server_add_handler(server, nullptr, on_call, this, nullptr);
    g_timeout_add(static_cast<guint>(plan.report / 1000), on_report, this);
  }

 private:
  struct Run {
    Worker* host = nullptr;
    SoupServerMessage* message = nullptr;
    std::string id;
    std::string tag;
    std::string name;  // of this run, told in every piece
    Path path;
    std::int64_t chunks = 0;
    std::int64_t at = 0;
    bool stream = false;
    bool running = false;
    bool answered = false;
    std::string odd;
    guint timer = 0;
  };

  void write(char const* what, std::string const& tag, std::int64_t n) {
    if (run_record_file == nullptr) return;
    std::fprintf(run_record_file, "%s %s %lld %lld %s\n", what, tag.empty() ? "-" : tag.c_str(),
                 static_cast<long long>(now()), static_cast<long long>(n), plan.id.c_str());
    std::fflush(run_record_file);
  }

  static gboolean on_report(gpointer self) {
    Worker& host = *static_cast<Worker*>(self);
    // Load is reported late: what is told is what was true a while ago.
    host.history.emplace_back(now(), std::make_pair(host.active, host.backlog.size()));
    while (host.history.size() > 1 && host.history[1].first <= now() - host.plan.lag) host.history.pop_front();
    return G_SOURCE_CONTINUE;
  }

  static void reply(SoupServerMessage* message, unsigned status, char const* type, std::string const& body) {
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, type, SOUP_MEMORY_COPY, body.data(), body.size());
  }

  static void on_call(SoupServer*, SoupServerMessage* message, char const* path, GHashTable* query, gpointer self) {
    Worker& host = *static_cast<Worker*>(self);
    std::string const where = path;
    if (where == "/vitals") {
      std::size_t active = 0;
      std::size_t queued = 0;
      if (!host.history.empty()) {
        active = host.history.front().second.first;
        queued = host.history.front().second.second;
      }
      JsonWriter json;
      json.begin_object()
          .key("incarnation")
          .number(static_cast<std::int64_t>(host.plan.incarnation))
          .key("active")
          .number(static_cast<std::int64_t>(active));
      json.key("queued")
          .number(static_cast<std::int64_t>(queued))
          .key("awake_ms")
          .number((now() - host.woke) / 1000)
          .end_object();
      return reply(message, 200, "application/json", json.take());
    }
    if (where == "/odd") {
      char const* const kind =
          query == nullptr ? nullptr : static_cast<char const*>(g_hash_table_lookup(query, "kind"));
      char const* const times =
          query == nullptr ? nullptr : static_cast<char const*>(g_hash_table_lookup(query, "times"));
      host.odd = kind == nullptr ? "" : kind;
      host.odd_left = times == nullptr ? 1 : std::atoi(times);
      return reply(message, 200, "application/json", "{}");
    }
    if (where != "/v1/chat/completions" && where != "/v1/completions")
      return reply(message, 404, "application/json", "{}");
    host.take(message, where == "/v1/chat/completions");
  }

  void take(SoupServerMessage* message, bool chat) {
    GBytes* const bytes = soup_message_body_flatten(soup_server_message_get_request_body(message));
    gsize size = 0;
    char const* const raw = static_cast<char const*>(g_bytes_get_data(bytes, &size));
    std::string const body(raw == nullptr ? "" : raw, size);
    g_bytes_unref(bytes);
    Result<ChatRequestInfo> const ask = parse_chat_request(body, chat ? ChatApi::chat : ChatApi::completion);
    if (!ask) return reply(message, 400, "application/json", "{\"error\":{\"message\":\"bad\"}}");
    std::string odd_now;
    if (odd_left > 0 && !odd.empty()) {
      odd_now = odd;
      --odd_left;
    }
    if (odd_now == "429" || odd_now == "503after") {
      soup_message_headers_replace(soup_server_message_get_response_headers(message), "Retry-After", "1");
      return reply(message, odd_now == "429" ? 429 : 503, "application/json", "{}");
    }
    if (odd_now == "redirect") {
      soup_message_headers_replace(soup_server_message_get_response_headers(message), "Location",
                                   ("http://" + plan.http + "/v1/completions").c_str());
      return reply(message, 307, "application/json", "{}");
    }
    Run* const run = new Run;
    run->host = this;
    run->message = SOUP_SERVER_MESSAGE(g_object_ref(message));
    char const* const id =
        soup_message_headers_get_one(soup_server_message_get_request_headers(message), "X-Request-Id");
    run->id = id == nullptr ? "none" : id;
    run->tag = ask.value().facts.user;
    run->path = ask.value().path;
    run->chunks = ask.value().facts.max_tokens > 0 ? ask.value().facts.max_tokens : 16;
    run->stream = ask.value().facts.stream;
    run->odd = odd_now;
    run->name = plan.id + "." + std::to_string(plan.incarnation) + "." + std::to_string(++runs);
    g_signal_connect(message, "finished", G_CALLBACK(on_finished), run);
    write("S", run->tag, run->chunks);
    if (odd_now == "500" || odd_now == "503") {
      run->answered = true;
      return reply(message, odd_now == "500" ? 500 : 503, "application/json", "{}");
    }
    soup_server_message_pause(message);
    if (odd_now == "stall") return;
    backlog.push_back(run);
    work();
  }

  void work() {
    while (active < plan.slots && !backlog.empty()) {
      Run* const run = backlog.front();
      backlog.pop_front();
      run->running = true;
      ++active;
      std::size_t const miss = run->path.size() - cache.read(run->path);
      asked += run->path.size();
      missed += miss;
      Micros const wait = plan.block * static_cast<Micros>(miss + 1);
      run->timer = g_timeout_add(static_cast<guint>(wait / 1000), on_chunk, run);
    }
  }

  std::string chunk_text(Run const& run, std::string const& content, bool chat_chunk) const {
    std::string id = "chatcmpl-" + run.id;
    if (run.odd == "otherid" || (run.odd == "joinid" && run.at >= run.chunks / 2)) id = "somebody-else";
    if (run.odd == "subid") id += "7";  // another's, of which this one is a part
    JsonWriter json;
    json.begin_object().key("id").text(id).key("object").text(chat_chunk ? "chat.completion.chunk" : "chat.completion");
    json.key("choices")
        .begin_list()
        .begin_object()
        .key("index")
        .number(0)
        .key(chat_chunk ? "delta" : "message")
        .begin_object()
        .key("content")
        .text(content)
        .end_object()
        .end_object()
        .end_list()
        .end_object();
    return json.take();
  }

  static gboolean on_chunk(gpointer data) {
    Run& run = *static_cast<Run*>(data);
    run.timer = 0;
    run.host->chunk(run);
    return G_SOURCE_REMOVE;
  }

  void put(Run& run, std::string const& text) {
    SoupMessageBody* const body = soup_server_message_get_response_body(run.message);
    soup_message_body_append(body, SOUP_MEMORY_COPY, text.data(), text.size());
    soup_server_message_unpause(run.message);
  }

  void chunk(Run& run) {
    // What a lying worker says of itself; an honest one tells whose piece it is, of which run, and which of how many.
    bool const later = run.at >= run.chunks / 2;
    std::string const name = run.odd == "join" && later ? run.name + "b" : run.name;
    std::string const tag = run.odd == "othertag" ? "somebody" : run.tag;
    std::int64_t said = run.at;
    if (run.odd == "skip" && later) ++said;
    if (run.odd == "repeat" && later) --said;
    if (run.odd == "order" && run.at < 2) said = 1 - run.at;
    std::string const content = tag + "|" + name + "|" + std::to_string(said) + "|" + std::to_string(run.chunks) + " ";
    if (!run.stream) {
      if (++run.at < run.chunks) {
        run.timer = g_timeout_add(static_cast<guint>(plan.chunk / 1000), on_chunk, &run);
        return;
      }
      run.answered = true;
      write("E", run.tag, run.chunks);
      std::string body = chunk_text(run, run.tag + "|" + run.name + "|" + std::to_string(run.chunks), false);
      if (run.odd == "torn") body.resize(body.size() / 2);
      if (run.odd == "err200") body = "{\"error\":{\"message\":\"no\"}}";
      reply(run.message, 200, run.odd == "type" ? "text/plain" : "application/json", body);
      soup_server_message_unpause(run.message);
      return;
    }
    if (run.at == 0) {
      SoupMessageHeaders* const head = soup_server_message_get_response_headers(run.message);
      soup_server_message_set_status(run.message, 200, nullptr);
      soup_message_headers_set_encoding(head, SOUP_ENCODING_CHUNKED);
      soup_message_headers_replace(head, "Content-Type", run.odd == "type" ? "text/plain" : "text/event-stream");
      soup_message_body_set_accumulate(soup_server_message_get_response_body(run.message), FALSE);
    }
    if ((run.odd == "noend" || run.odd == "torn") && run.at >= run.chunks / 2) {
      run.answered = true;
      if (run.odd == "noend") {
        soup_message_body_complete(soup_server_message_get_response_body(run.message));
        soup_server_message_unpause(run.message);
      } else {
        g_socket_close(soup_server_message_get_socket(run.message), nullptr);
        soup_server_message_unpause(run.message);
      }
      return;
    }
    if (run.odd == "early" && later)
      run.at = run.chunks - 1;
    else if (run.odd == "err200")
      put(run, "data: {\"error\":{\"message\":\"no\"}}\n\n");
    else
      put(run, "data: " + chunk_text(run, content, true) + "\n\n");
    if (++run.at < run.chunks) {
      // A fuller worker speaks more slowly.
      Micros const pause = plan.chunk + plan.chunk * static_cast<Micros>(active) / static_cast<Micros>(plan.slots);
      run.timer = g_timeout_add(static_cast<guint>(pause / 1000), on_chunk, &run);
      return;
    }
    run.answered = true;
    if (run.odd != "ghost") write("E", run.tag, run.chunks);
    put(run, "data: [DONE]\n\n");
    if (run.odd == "twice") put(run, "data: [DONE]\n\n");
    if (run.odd == "after") put(run, "data: " + chunk_text(run, content, true) + "\n\n");
    soup_message_body_complete(soup_server_message_get_response_body(run.message));
    soup_server_message_unpause(run.message);
  }

  static void on_finished(SoupServerMessage* message, gpointer data) {
    Run* const run = static_cast<Run*>(data);
    Worker& host = *run->host;
    if (run->timer != 0) g_source_remove(run->timer);
    if (!run->answered) host.write("X", run->tag, run->at);  // its caller hung up
    std::deque<Run*>::iterator const position = std::find(host.backlog.begin(), host.backlog.end(), run);
    if (position != host.backlog.end()) host.backlog.erase(position);
    if (run->running) --host.active;
    g_object_unref(run->message);
    delete run;
    host.work();
  }

  Plan const plan;
  Cache cache;
  Micros const woke;
  std::FILE* run_record_file = nullptr;
  std::deque<Run*> backlog;
  std::size_t active = 0;
  std::uint64_t runs = 0;
  std::uint64_t asked = 0;
  std::uint64_t missed = 0;
  std::string odd;
  int odd_left = 0;
  std::deque<std::pair<Micros, std::pair<std::size_t, std::size_t>>> history;
};

// The platform's list: PUT /workers sets it; readers see it a little later.
class Platform {
 public:
  explicit Platform(Micros lag_) : lag(lag_) {}
  void serve(SoupServer* server) { soup_server_add_handler(server, nullptr, on_call, this, nullptr); }

 private:
  static void on_call(SoupServer*, SoupServerMessage* message, char const* path, GHashTable*, gpointer self) {
    Platform& host = *static_cast<Platform*>(self);
    bool const put = std::string(soup_server_message_get_method(message)) == "PUT";
    if (std::string(path) != "/workers") {
      soup_server_message_set_status(message, 404, nullptr);
      return;
    }
    if (put) {
      GBytes* const bytes = soup_message_body_flatten(soup_server_message_get_request_body(message));
      gsize size = 0;
      char const* const raw = static_cast<char const*>(g_bytes_get_data(bytes, &size));
      host.versions.emplace_back(now(), std::string(raw == nullptr ? "" : raw, size));
      g_bytes_unref(bytes);
      soup_server_message_set_status(message, 200, nullptr);
      return;
    }
    while (host.versions.size() > 1 && host.versions[1].first <= now() - host.lag) host.versions.pop_front();
    std::string const body = host.versions.empty() ? "{\"workers\":[]}" : host.versions.front().second;
    soup_server_message_set_status(message, 200, nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(), body.size());
  }
  Micros const lag;
  std::deque<std::pair<Micros, std::string>> versions;
};

int run(int argc, char** argv) {
  Plan plan;
  options::options_description flags("fake_backend worker|platform: stands in for the outside");
  flags.add_options()("sort", options::value(&plan.sort), "worker or platform")(
      "http", options::value(&plan.http), "IP:port")("id", options::value(&plan.id))(
      "ledger", options::value(&plan.run_record_path), "a file to which every run is written")(
      "incarnation", options::value(&plan.incarnation))("slots", options::value(&plan.slots))(
      "blocks", options::value(&plan.blocks))("block-us", options::value(&plan.block))(
      "piece-us", options::value(&plan.chunk))("report-us", options::value(&plan.report), "how often load is taken")(
      "lag-us", options::value(&plan.lag), "how late it is told")("help", "");
  options::positional_options_description spots;
  spots.add("sort", 1);
  std::function<void()> const print_help = [&] { std::cout << flags; };
  std::optional<int> const ended = read_flags("fake_backend", argc, argv, flags, print_help, &spots);
  if (ended) return *ended;
  std::string host;
  std::uint16_t port = 0;
  if (!split_address(plan.http, host, port) || (plan.sort != "worker" && plan.sort != "platform")) {
    std::fprintf(stderr, "fake_backend: worker or platform, and --http IP:port, are needed\n");
    return 2;
  }
  SoupServer* const server = soup_server_new(nullptr, nullptr);
  GSocketAddress* const position = g_inet_socket_address_new_from_string(host.c_str(), port);
  GError* error = nullptr;
  if (!soup_server_listen(server, position, static_cast<SoupServerListenOptions>(0), &error)) {
    std::fprintf(stderr, "fake_backend: %s: %s\n", plan.http.c_str(), error->message);
    return 2;
  }
  std::unique_ptr<Worker> worker;
  std::unique_ptr<Platform> platform;
  if (plan.sort == "worker") {
    worker = std::make_unique<Worker>(plan);
    worker->serve(server);
  } else {
    platform = std::make_unique<Platform>(plan.lag);
    platform->serve(server);
  }
  g_main_loop_run(g_main_loop_new(nullptr, FALSE));
  return 0;
}

}  // namespace
}  // namespace pipit

int main(int argc, char** argv) { return pipit::run(argc, argv); }
