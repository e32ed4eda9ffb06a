// Dispatcher without I/O: routing, waiting, retries, retry budgets, deadlines, and seeded random walks whose every
// effect is checked (§12.5).
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <set>

#include "base/random.h"
#include "routing/dispatch/dispatcher.h"
#include "tests/routing/dispatcher_fixture.h"

namespace pipit {

TEST(PromptParts, parsing_stops_at_the_first_malformed_item) {
  PromptParts const two = parse_prompt_parts("5c1e07a2:800, 91bd3f06:410");
  ASSERT_EQ(two.path.size(), 2u);
  EXPECT_EQ(two.tokens, (std::vector<std::uint32_t>{800, 410}));
  EXPECT_EQ(parse_prompt_parts("5c1e07a2:800,ff:1").path[0], two.path[0]);
  EXPECT_NE(parse_prompt_parts("ff:1,91bd3f06:410").path[1], two.path[1])
      << "the hash of a part covers the parts before it";
  EXPECT_TRUE(parse_prompt_parts("").path.empty());
  for (char const* const bad : {"xyz:1", ":1", "5c", "5c:x", ",5c:1", "5c:-1"})
    EXPECT_TRUE(parse_prompt_parts(bad).path.empty()) << bad;
  EXPECT_EQ(parse_prompt_parts("5c:1,zz:1,5d:1").path.size(), 1u) << "a malformed item ends the list";
  EXPECT_TRUE(parse_prompt_parts("5c:99999999999999999999").path.empty()) << "more tokens than any prompt has";
}

TEST_F(DispatcherTest, the_longest_matching_prefix_of_the_host_selects_the_route) {
  std::string const rest = ",\"shares\":[{\"pool\":\"p\"}]";
  std::string text;
  struct Row {
    char const* name;
    char const* host;
    char const* prefix;
  };
  for (Row const& row : {Row{"root", "api.test", "/"}, Row{"chat", "api.test", "/v1/chat/"},
                         Row{"v1", "api.test", "/v1/"}, Row{"other", "other.test", "/v1/chat/deep/"}})
    text += std::string(text.empty() ? "" : ",") + "{\"name\":\"" + row.name + "\",\"host\":\"" + row.host +
            "\",\"prefix\":\"" + row.prefix + "\"" + rest + "}";
  std::shared_ptr<Description const> const description = compiled_description(text);
  Row const asked[] = {
      {"chat", "api.test", "/v1/chat/x"}, {"chat", "API.Test", "/v1/chat/deep/x"},
      {"v1", "api.test", "/v1/models"},   {"root", "api.test", "/v2"},
      {"root", "api.test", "/"},          {"other", "other.test", "/v1/chat/deep/x"},
      {"", "other.test", "/v1/chat/x"},   {"", "nobody.test", "/v1/chat/x"},
      {"v1", "api.test", "/v1/chats/x"},  {"root", "api.test", "/v1x"},
      {"v1", "api.test", "/v1/chat"},     {"root", "api.test", "/v1"},
  };
  for (Row const& row : asked) {
    Route const* const route = description->find_route(row.host, row.prefix);
    EXPECT_EQ(route == nullptr ? "" : route->name, row.name) << row.host << row.prefix;
  }
}

TEST_F(DispatcherTest, a_request_without_a_route_is_rejected_at_once) {
  worker("w");
  EXPECT_EQ(place(1, "nowhere"), "");
  ASSERT_EQ(out.rejections.size(), 1u);
  EXPECT_EQ(out.rejections[0].error, ErrorCode::not_found);
  EXPECT_EQ(out.rejections[0].retry_after, 0);
  EXPECT_TRUE(free_of_work());
}

TEST_F(DispatcherTest, an_unconfirmed_configuration_refuses_no_path_for_good) {
  worker("w");
  ConfigurationLease lease(0, seconds(2));
  dispatcher.set_lease(lease);
  lease.confirm(now - seconds(2));
  place(1, "nowhere");
  ASSERT_EQ(out.rejections.size(), 1u);
  EXPECT_EQ(out.rejections[0].error, ErrorCode::not_found);
  lease.confirm(now);
  now += seconds(2) + 1;
  place(2, "nowhere");
  ASSERT_EQ(out.rejections.size(), 1u);
  EXPECT_EQ(out.rejections[0].error, ErrorCode::unconfirmed);
  EXPECT_GT(out.rejections[0].retry_after, 0);
}

TEST_F(DispatcherTest, a_superseded_configuration_handles_no_request_once_its_confirmation_is_too_old) {
  worker("w");
  ConfigurationLease lease(0, seconds(2));
  dispatcher.set_lease(lease);
  lease.confirm(now);
  lease.set_superseded(true);
  EXPECT_EQ(place(1, "once"), "w") << "the newer one may have been chosen just now";
  now += seconds(2) + 1;
  EXPECT_EQ(place(2, "once"), "");
  ASSERT_EQ(out.rejections.size(), 1u);
  EXPECT_EQ(out.rejections[0].error, ErrorCode::unconfirmed);
  lease.set_superseded(false);
  EXPECT_EQ(place(3, "once"), "w") << "a node that knows of no newer configuration serves on";
}

TEST_F(DispatcherTest, without_a_description_requests_are_rejected_with_a_time_to_retry) {
  dispatcher.set_description(std::make_shared<Description>());
  place(1, "once");
  ASSERT_EQ(out.rejections.size(), 1u);
  EXPECT_EQ(out.rejections[0].error, ErrorCode::not_ready);
  EXPECT_GT(out.rejections[0].retry_after, 0);
}

TEST_F(DispatcherTest, shares_follow_their_weights) {
  dispatcher.set_description(compiled_description(route_text(
      "once", "", "{\"pool\":\"p\",\"weight\":3},{\"pool\":\"q\",\"weight\":1},{\"pool\":\"p\",\"weight\":0}")));
  worker("w", "p");
  worker("v", "q");
  int first = 0;
  constexpr int all = 4000;
  for (std::uint64_t id = 1; id <= all; ++id) {
    std::string const at = place(id, "once");
    ASSERT_FALSE(at.empty());
    first += at == "w" ? 1 : 0;
    dispatcher.on_sent(id, now);
    end(id, AttemptEnd::complete);
  }
  EXPECT_NEAR(first, all * 3 / 4, all / 20);
  EXPECT_TRUE(free_of_work());
}

// The weights of a route must hold over a few hundred requests, whichever nodes receive them.
TEST(ShareTurns, weights_hold_over_few_requests_at_many_nodes) {
  struct OneNode {
    explicit OneNode(std::string const& name)
        : registry(name), exchange(name), dispatcher(name, "a", index_sync, registry, exchange) {
      dispatcher.set_description(compiled_description(
          route_text("even", "", "{\"pool\":\"p\",\"weight\":1},{\"pool\":\"q\",\"weight\":1}") + "," +
          route_text("tenth", "", "{\"pool\":\"p\",\"weight\":90},{\"pool\":\"q\",\"weight\":10}")));
      registry.heartbeat(heartbeat_of("v", 1, "p"), 0);
      registry.heartbeat(heartbeat_of("w", 1, "q"), 0);
    }
    IndexSync index_sync{1};
    Registry registry;
    ReportExchange exchange;
    Dispatcher dispatcher;
  };
  RandomSource random(5);
  std::uint64_t id = 0;
  for (std::size_t const nodes : {9u, 72u}) {
    std::vector<std::unique_ptr<OneNode>> all;
    for (std::size_t n = 0; n < nodes; ++n) all.push_back(std::make_unique<OneNode>("n" + std::to_string(n)));
    for (int trial = 0; trial < 20; ++trial)
      for (std::pair<char const*, double> const& route : {std::make_pair("even", 0.5), std::make_pair("tenth", 0.1)}) {
        constexpr int requests = 300;
        int second = 0;
        for (int n = 0; n < requests; ++n) {
          DispatchEffects out;
          all[random.below(nodes)]->dispatcher.on_request(++id, request_info(route.first), 1000, out);
          ASSERT_EQ(out.attempts.size(), 1u);
          second += out.attempts[0].instance == "w" ? 1 : 0;
        }
        EXPECT_NEAR(static_cast<double>(second) / requests, route.second, 0.04) << nodes << " nodes, " << route.first;
      }
  }
}

TEST_F(DispatcherTest, only_serving_workers_of_the_pool_are_chosen) {
  worker("other", "q");
  worker("ending");
  registry.heartbeat(
      [this] {
        Heartbeat heartbeat = heartbeat_of("ending", ++order);
        heartbeat.leaving = true;
        return heartbeat;
      }(),
      now);
  worker("ended");
  registry.leave("ended", ++order, now);
  EXPECT_EQ(place(1, "once"), "");
  EXPECT_TRUE(out.empty());
  worker("good");
  wait(seconds(1));
  EXPECT_EQ(started(1), "good");
}

TEST_F(DispatcherTest, without_a_worker_a_request_waits_and_is_rejected_in_time) {
  for (std::string const route : {"once", "safe", "flow", "live"}) {
    Micros const arrived_at = now;
    EXPECT_EQ(place(7, route), "");
    EXPECT_TRUE(out.empty()) << "a worker may register at any moment";
    wait(seconds(5));
    ASSERT_EQ(out.rejections.size(), 1u) << route;
    EXPECT_EQ(out.rejections[0].error, ErrorCode::no_worker);
    EXPECT_GT(out.rejections[0].retry_after, 0);
    EXPECT_LT(now - arrived_at, seconds(1)) << "well before the client's deadline";
    EXPECT_TRUE(free_of_work());
  }
}

TEST_F(DispatcherTest, a_short_deadline_shortens_the_wait) {
  RequestInfo info = request_info("once");
  info.time_remaining = millis(200);
  Micros const arrived_at = now;
  place(1, info);
  wait(seconds(5));
  ASSERT_EQ(out.rejections.size(), 1u);
  EXPECT_LT(now - arrived_at, millis(200));
  EXPECT_GT(out.rejections[0].retry_after, 0);
}

TEST_F(DispatcherTest, a_paused_node_places_no_request) {
  worker("w");
  dispatcher.set_paused(true);
  EXPECT_EQ(place(1, "once"), "");
  dispatcher.set_paused(false);
  wait(seconds(1));
  EXPECT_EQ(started(1), "w");
}

// Guards against a fault after a restart of all nodes: every node answered the first requests with "not ready",
// although it received the description a moment later.
TEST_F(DispatcherTest, requests_to_a_node_that_has_just_started_wait_for_its_description) {
  worker("w");
  dispatcher.set_description(std::make_shared<Description>());
  dispatcher.set_started_at(now);
  EXPECT_TRUE(place(1, "safe").empty());
  EXPECT_TRUE(out.rejections.empty());
  dispatcher.set_description(usual_description());
  wait(millis(100));
  EXPECT_EQ(started(1), "w");
  // The wait is limited, and there is none once the startup span is over.
  dispatcher.set_description(std::make_shared<Description>());
  place(2, "safe");
  Micros const from = now;
  wait(seconds(3));
  ASSERT_EQ(out.rejections.size(), 1u);
  EXPECT_LE(now - from, seconds(1));
  EXPECT_GT(out.rejections[0].retry_after, 0);
  now += seconds(20);
  place(3, "safe");
  ASSERT_EQ(out.rejections.size(), 1u);
}

TEST_F(DispatcherTest, an_unreachable_worker_is_suspected_and_another_one_is_tried) {
  worker("w");
  worker("v");
  std::string const first = place(1, "once");
  ASSERT_FALSE(first.empty());
  end(1, AttemptEnd::unreached);
  std::string const second = started(1);
  EXPECT_FALSE(second.empty());
  EXPECT_NE(second, first);
  EXPECT_EQ(suspects(), std::vector<std::string>{first});
}

TEST_F(DispatcherTest, attempts_count_from_the_first_byte_sent) {
  for (char const* const id : {"w1", "w2", "w3", "w4", "w5"}) worker(id);
  ASSERT_FALSE(place(1, "safe").empty());
  for (int sends = 1; sends <= 3; ++sends) {
    dispatcher.on_sent(1, now);
    end(1, AttemptEnd::broke);
    EXPECT_EQ(started(1).empty(), sends == 3) << sends;
  }
  ASSERT_EQ(out.rejections.size(), 1u);
  EXPECT_GT(out.rejections[0].retry_after, 0) << "a repeatable request may be retried by the client";
  EXPECT_EQ(dispatcher.counters.sends, 3u);
  EXPECT_EQ(dispatcher.counters.retries, 2u);
  EXPECT_TRUE(free_of_work());
}

TEST_F(DispatcherTest, a_request_that_may_have_run_and_is_not_repeatable_fails_without_a_time_to_retry) {
  worker("w");
  worker("v");
  for (AttemptEnd const how : {AttemptEnd::broke, AttemptEnd::silent}) {
    ASSERT_FALSE(place(1, "once").empty());
    dispatcher.on_sent(1, now);
    end(1, how);
    EXPECT_TRUE(out.attempts.empty());
    ASSERT_EQ(out.rejections.size(), 1u);
    EXPECT_EQ(out.rejections[0].retry_after, 0);
  }
  EXPECT_TRUE(free_of_work());
}

TEST_F(DispatcherTest, a_declined_request_is_retried_and_refused_when_no_worker_is_left) {
  worker("w");
  worker("v");
  std::string const first = place(1, "once");
  dispatcher.on_sent(1, now);
  end(1, AttemptEnd::declined);
  ASSERT_FALSE(started(1).empty());
  EXPECT_NE(started(1), first);
  dispatcher.on_sent(1, now);
  end(1, AttemptEnd::declined);
  if (out.rejections.empty()) wait(seconds(3));
  ASSERT_EQ(out.rejections.size(), 1u);
  EXPECT_GT(out.rejections[0].retry_after, 0) << "it did not run";
  EXPECT_TRUE(free_of_work());
}

TEST_F(DispatcherTest, an_error_of_the_worker_is_forwarded) {
  worker("w");
  place(1, "once");
  dispatcher.on_sent(1, now);
  end(1, AttemptEnd::failed);
  EXPECT_EQ(out.forwarded_failures, std::vector<std::uint64_t>{1});
  EXPECT_TRUE(free_of_work());
}

TEST_F(DispatcherTest, a_broken_connection_makes_an_ejected_worker_suspect) {
  worker("w");
  place(1, "safe");
  place(2, "safe");
  dispatcher.on_sent(1, now);
  dispatcher.on_sent(2, now);
  end(1, AttemptEnd::declined);
  EXPECT_TRUE(suspects().empty()) << "a worker that declines is healthy";
  end(2, AttemptEnd::broke);
  EXPECT_EQ(suspects(), std::vector<std::string>{"w"});
}

TEST_F(DispatcherTest, the_deadline_ends_an_active_request) {
  worker("w");
  struct Row {
    char const* route;
    bool left;
    bool began;
  };
  for (Row const& row : {Row{"once", false, false}, Row{"once", true, false}, Row{"live", true, true},
                         Row{"flow", true, true}, Row{"safe", true, false}}) {
    Micros const arrived_at = now;
    RequestInfo info = request_info(row.route);
    info.time_remaining = millis(600);
    ASSERT_EQ(place(1, info), "w");
    EXPECT_LE(out.attempts[0].timeout, millis(600));
    if (row.left) dispatcher.on_sent(1, now);
    if (row.began) dispatcher.on_answer_begin(1, now);
    out = DispatchEffects();
    for (Micros const stop = now + seconds(5); now < stop && out.rejections.empty() && out.aborted_answers.empty();) {
      now += millis(10);
      dispatcher.tick(now, out);
      if (row.began && dispatcher.active_requests() > 0) dispatcher.on_answer_event(1, now);
    }
    EXPECT_EQ(out.aborted_answers.size(), row.began ? 1u : 0u);
    EXPECT_EQ(out.rejections.size(), row.began ? 0u : 1u);
    if (!row.began) {
      EXPECT_EQ(out.rejections[0].retry_after > 0, !row.left) << row.route << " " << row.left;
    }
    EXPECT_LE(now - arrived_at, millis(610));
    EXPECT_TRUE(free_of_work());
  }
}

TEST_F(DispatcherTest, a_request_without_time_left_is_refused_and_not_sent) {
  worker("w");
  for (Micros const time_left : {Micros(1), millis(1), millis(20)}) {
    RequestInfo info = request_info("once");
    info.time_remaining = time_left;
    EXPECT_EQ(place(1, info), "") << time_left;
    ASSERT_EQ(out.rejections.size(), 1u);
    EXPECT_GT(out.rejections[0].retry_after, 0) << "it did not run";
    EXPECT_TRUE(free_of_work());
  }
}

TEST_F(DispatcherTest, a_request_with_an_earlier_attempt_is_not_reported_as_unsent) {
  worker("w");
  worker("v");
  place(1, "safe");
  dispatcher.on_sent(1, now);
  end(1, AttemptEnd::broke);
  ASSERT_FALSE(started(1).empty());
  wait(seconds(5));
  ASSERT_EQ(out.rejections.size(), 1u);
  EXPECT_EQ(out.rejections[0].error, ErrorCode::worker_silent);
  EXPECT_EQ(out.rejections[0].retry_after, 0);
}

TEST_F(DispatcherTest, a_resumable_stream_moves_away_from_a_silent_worker) {
  worker("w");
  worker("v");
  std::string const first = place(1, "flow");
  dispatcher.on_sent(1, now);
  dispatcher.on_answer_begin(1, now);
  now += millis(50);
  dispatcher.on_answer_event(1, now);
  Micros const since = now;
  wait(seconds(5));
  EXPECT_EQ(out.cancelled_attempts, std::vector<std::uint64_t>{1});
  ASSERT_EQ(out.attempts.size(), 1u);
  EXPECT_NE(out.attempts[0].instance, first);
  EXPECT_TRUE(out.attempts[0].resumes_answer);
  EXPECT_LT(now - since, seconds(2));
  dispatcher.on_sent(1, now);
  dispatcher.on_answer_event(1, now);
  end(1, AttemptEnd::complete);
  EXPECT_EQ(dispatcher.counters.served, 1u);
  EXPECT_EQ(dispatcher.counters.resumed, 1u);
  EXPECT_TRUE(free_of_work());
}

TEST_F(DispatcherTest, a_request_that_is_not_repeatable_stays_with_a_silent_worker_until_its_deadline) {
  for (char const* const id : {"w", "v"}) worker(id);
  for (bool const began : {false, true}) {
    place(1, "live");
    dispatcher.on_sent(1, now);
    if (began) dispatcher.on_answer_begin(1, now);
    wait(millis(2900));
    EXPECT_TRUE(out.empty());
    wait(seconds(1));
    EXPECT_TRUE(out.attempts.empty());
    EXPECT_FALSE(out.empty());
  }
}

TEST_F(DispatcherTest, an_answer_that_is_not_resumable_is_not_cancelled_for_a_pause) {
  worker("w");
  worker("v");
  ASSERT_FALSE(place(1, "safe").empty());
  dispatcher.on_sent(1, now);
  dispatcher.on_answer_begin(1, now);
  wait(millis(2500));
  EXPECT_TRUE(out.cancelled_attempts.empty());
  EXPECT_TRUE(out.aborted_answers.empty()) << "its route allows three seconds";
}

TEST_F(DispatcherTest, an_attempt_is_not_cancelled_when_too_little_time_is_left_for_another) {
  worker("w");
  worker("v");
  RequestInfo info = request_info("safe");
  info.time_remaining = millis(870);
  place(1, info);
  dispatcher.on_sent(1, now);
  // The route's latency target makes the attempt count as silent after some 750 ms; at 800 ms too little time is left.
  dispatcher.set_paused(true);
  for (int i = 0; i < 80; ++i) dispatcher.tick(now += millis(10), out);
  dispatcher.set_paused(false);
  out = DispatchEffects();
  dispatcher.tick(now += millis(1), out);
  EXPECT_TRUE(out.empty()) << "it may still answer in time";
}

// Some workers announce their end and serve on: they keep their requests and are sent no new ones.
TEST_F(DispatcherTest, a_worker_that_announced_its_end_keeps_its_requests_and_gets_no_new_ones) {
  for (bool const announced_to_peer : {false, true}) {
    worker("w");
    ASSERT_EQ(place(1, "safe"), "w");
    dispatcher.on_sent(1, now);
    now += millis(20);
    if (announced_to_peer) {
      Registry peer("n2");
      peer.heartbeat(heartbeat_of("w", order), now);
      std::optional<wire::EntryT> const entry = peer.leave("w", ++order, now);
      ASSERT_TRUE(entry);
      registry.take_entry(*entry, now);
    } else {
      registry.leave("w", ++order, now);
    }
    worker("v");
    EXPECT_EQ(place(2, "safe"), "v");
    dispatcher.on_sent(2, now);
    dispatcher.on_answer_begin(2, now);
    end(2, AttemptEnd::complete);
    wait(millis(700));  // less than the silence limit
    EXPECT_TRUE(out.empty()) << "its worker still processes it";
    dispatcher.on_answer_begin(1, now);
    end(1, AttemptEnd::complete);
    EXPECT_TRUE(free_of_work());
    registry.all.clear();
  }
}

// Heartbeats may arrive seconds late: a worker that sends bytes is alive.
TEST_F(DispatcherTest, requests_are_not_moved_for_late_heartbeats_while_the_worker_sends_bytes) {
  worker("w");
  ASSERT_EQ(place(1, "safe"), "w");
  dispatcher.on_sent(1, now);
  now += millis(100);
  wire::EntryT gone;  // its owner has missed its heartbeats
  gone.key = "w";
  gone.owner = "n2";
  gone.incarnation = order;
  gone.address = "127.0.0.1:9000";
  gone.zone = "a";
  gone.pool = "p";
  gone.slots = 8;
  gone.state = static_cast<std::uint8_t>(WorkerState::ended);
  registry.take_entry(gone, now);
  ASSERT_EQ(registry.find("w")->state, WorkerState::ended);
  worker("v");
  for (int turn = 0; turn < 8; ++turn) {
    out = DispatchEffects();
    dispatcher.tick(now += millis(100), out);
    EXPECT_TRUE(out.empty()) << "turn " << turn;
    registry.record_response(*registry.find("w"), now);  // bytes arrived for another request
  }
  wait(seconds(1));
  EXPECT_EQ(out.cancelled_attempts, std::vector<std::uint64_t>{1}) << "the worker sends neither bytes nor heartbeats";
}

// The time to receive a request counts against the client's deadline.
TEST_F(DispatcherTest, the_time_to_receive_a_request_shortens_the_attempt) {
  worker("w");
  RequestInfo info = request_info("once");
  info.time_remaining = millis(2000);
  info.receive_time = millis(700);
  ASSERT_EQ(place(1, info), "w");
  EXPECT_LE(out.attempts[0].timeout, millis(1300));
  EXPECT_GT(out.attempts[0].timeout, millis(1200));
  info.time_remaining = 0;  // the route's timeout starts at the first byte, too
  ASSERT_EQ(place(2, info), "w");
  EXPECT_LE(out.attempts[0].timeout, millis(2300));
  info.time_remaining = millis(700);
  EXPECT_EQ(place(3, info), "");
  ASSERT_EQ(out.rejections.size(), 1u);
  EXPECT_GT(out.rejections[0].retry_after, 0) << "it has not run and never will";
}

// The route's timeout applies whatever the client's deadline is, and also while the dispatcher is paused.
TEST_F(DispatcherTest, the_routes_timeout_ends_a_request_before_a_later_client_deadline) {
  worker("w");
  for (bool const held : {false, true})
    for (Micros const time_left : {Micros(0), seconds(60)})
      for (char const* const route : {"once", "safe", "live", "flow"}) {
        Micros const arrived_at = now;
        RequestInfo info = request_info(route);
        info.time_remaining = time_left;
        ASSERT_EQ(place(1, info), "w");
        dispatcher.on_sent(1, now);
        dispatcher.set_paused(held);
        out = DispatchEffects();
        while (dispatcher.active_requests() > 0 && now - arrived_at < seconds(5))
          dispatcher.tick(now += millis(50), out);
        dispatcher.set_paused(false);
        ASSERT_EQ(out.rejections.size(), 1u) << route;
        EXPECT_EQ(out.rejections[0].retry_after, 0) << "it may have run";
        EXPECT_GE(now - arrived_at, millis(2950)) << "a silent worker does not end the request sooner";
        EXPECT_LE(now - arrived_at, millis(3050));
        EXPECT_TRUE(free_of_work());
      }
}

TEST_F(DispatcherTest, a_retry_gets_no_more_time_than_the_client_has_left) {
  worker("w");
  worker("v");
  for (Micros const time_left : {Micros(0), millis(2500)}) {
    RequestInfo info = request_info("safe");
    info.time_remaining = time_left;
    ASSERT_NE(place(1, info), "");
    Micros const end_of_first = now + out.attempts[0].timeout;
    dispatcher.on_sent(1, now);
    now += millis(800);
    end(1, AttemptEnd::broke);
    ASSERT_EQ(out.attempts.size(), 1u);
    EXPECT_LE(now + out.attempts[0].timeout, end_of_first);
    EXPECT_GE(now + out.attempts[0].timeout, end_of_first - millis(1));
    dispatcher.on_client_disconnect(1, now);
    now += seconds(10);
    registry.all.clear();
    worker("w");
    worker("v");
  }
}

TEST_F(DispatcherTest, a_client_disconnect_releases_the_request) {
  worker("w");
  for (int stage = 0; stage < 3; ++stage) {
    place(1, "flow");
    if (stage > 0) dispatcher.on_sent(1, now);
    if (stage > 1) dispatcher.on_answer_begin(1, now);
    dispatcher.on_client_disconnect(1, now);
    EXPECT_TRUE(free_of_work());
    end(1, AttemptEnd::broke);
    EXPECT_TRUE(out.empty()) << "late events of an ended request are ignored";
  }
  EXPECT_EQ(dispatcher.counters.client_disconnects, 3u);
}

TEST_F(DispatcherTest, prompts_with_a_common_prefix_go_to_the_same_worker) {
  for (char const* const id : {"w1", "w2", "w3", "w4"}) worker(id);
  RequestInfo info = request_info("once");
  info.parts = parse_prompt_parts("aa:4000,bb:50");
  info.input_tokens = 4050;
  std::string const home = place(1, info);
  dispatcher.on_sent(1, now);
  end(1, AttemptEnd::complete);
  for (std::uint64_t id = 2; id < 8; ++id) {
    RequestInfo next = info;
    next.parts = parse_prompt_parts("aa:4000,c" + std::to_string(id) + ":50");
    EXPECT_EQ(place(id, next), home);
    dispatcher.on_sent(id, now);
    end(id, AttemptEnd::complete);
  }
  // Another node, whose index is empty, chooses the same worker.
  IndexSync other_index_sync(2);
  Registry other_registry("n2");
  for (char const* const id : {"w1", "w2", "w3", "w4"}) other_registry.heartbeat(heartbeat_of(id, 1), now);
  ReportExchange other_exchange("n2");
  Dispatcher other("n2", "a", other_index_sync, other_registry, other_exchange);
  other.set_description(usual_description());
  DispatchEffects first;
  other.on_request(1, info, now, first);
  ASSERT_EQ(first.attempts.size(), 1u);
  EXPECT_EQ(first.attempts[0].instance, home);
}

TEST_F(DispatcherTest, a_large_fleet_announces_the_same_parts_at_a_worker_once_in_a_while) {
  dispatcher.set_node_count(100, true);
  for (char const* const id : {"w1", "w2", "w3", "w4"}) worker(id);
  RequestInfo info = request_info("once");
  info.parts = parse_prompt_parts("aa:400,bb:50");
  std::string const preferred = place(1, info);
  std::set<std::string> others;
  std::size_t moved = 0;
  std::uint64_t id = 1;
  while (id < 30) {
    std::string const at = place(++id, info);
    if (at.empty() || at == preferred) continue;
    ++moved;
    others.insert(at);
  }
  ASSERT_GT(moved, others.size());
  EXPECT_EQ(exchange.index_changes.announced, others.size());
  now += seconds(3);
  std::string at = preferred;
  while (at == preferred) at = place(++id, info);
  ASSERT_FALSE(at.empty());
  EXPECT_EQ(exchange.index_changes.announced, others.size() + 1);
}

TEST_F(DispatcherTest, workers_of_the_own_zone_are_preferred_until_they_are_loaded) {
  worker("near");
  Heartbeat far = heartbeat_of("far", 1);
  far.zone = "b";
  registry.heartbeat(far, now);
  EXPECT_EQ(place(1, "once"), "near");
  int at_far = 0;
  for (std::uint64_t id = 2; id < 40; ++id) at_far += place(id, "once") == "far" ? 1 : 0;
  EXPECT_GT(at_far, 5);
  EXPECT_GT(dispatcher.counters.cross_zone_sends, 0u);
}

namespace {
struct WindowSum {
  std::deque<std::pair<Micros, double>> items;
  double sum = 0;
  void add(Micros now, double value, Micros length) {
    items.emplace_back(now, value);
    sum += value;
    while (now - items.front().first > length) {
      sum -= items.front().second;
      items.pop_front();
    }
  }
};
}  // namespace

// Several nodes share one retry reserve. After a long quiet time the workers break every answer: in no window may the
// retries of all nodes exceed what their requests earn in it plus the reserve.
TEST(RetryBudget, holds_over_all_nodes_in_every_window) {
  constexpr double ratio = 0.15;
  constexpr double store = 18;
  for (std::size_t const count : {std::size_t(1), std::size_t(3), std::size_t(6), std::size_t(12)}) {
    struct TestNode {
      IndexSync index_sync{1};
      std::unique_ptr<Registry> registry;
      ReportExchange exchange{"n"};
      std::unique_ptr<Dispatcher> dispatcher;
      std::uint64_t resends = 0;
    };
    std::vector<std::unique_ptr<TestNode>> nodes;
    for (std::size_t i = 0; i < count; ++i) {
      nodes.push_back(std::make_unique<TestNode>());
      std::string const name = "n" + std::to_string(i);
      nodes[i]->registry = std::make_unique<Registry>(name);
      nodes[i]->dispatcher =
          std::make_unique<Dispatcher>(name, "a", nodes[i]->index_sync, *nodes[i]->registry, nodes[i]->exchange);
      nodes[i]->dispatcher->set_description(usual_description());
      nodes[i]->dispatcher->set_retry_budget(ratio, store);
      nodes[i]->dispatcher->set_node_count(count);
      for (char const* const id : {"w1", "w2", "w3", "w4"}) nodes[i]->registry->heartbeat(heartbeat_of(id, 1), 0);
    }
    RandomSource random(count);
    Micros now = 0;
    std::uint64_t id = 0;
    double worst = 0;
    double worst_span = 0;
    std::uint64_t resends = 0;
    // The sum in each window is at most 'store' if no stretch of (retries - ratio * requests) exceeds it.
    double stretch = 0;
    WindowSum asked;
    WindowSum retried;
    for (int turn = 0; turn < 4000; ++turn) {
      now += millis(20);
      bool const bad = turn % 1000 > 800 && turn % 1000 < 900;
      TestNode& box = *nodes[random.below(count)];
      DispatchEffects out;
      box.dispatcher->on_request(++id, request_info("safe"), now, out);
      stretch = std::max(0.0, stretch - ratio);
      asked.add(now, 1, seconds(2));
      while (!out.attempts.empty()) {
        out = DispatchEffects();
        box.dispatcher->on_sent(id, now);
        std::uint64_t const so_far = box.dispatcher->counters.retries;
        if (so_far > box.resends) {
          box.resends = so_far;
          ++resends;
          stretch += 1;
          worst = std::max(worst, stretch);
          retried.add(now, 1, seconds(2));
          worst_span = std::max(worst_span, retried.sum - ratio * asked.sum);
        }
        box.dispatcher->on_attempt_end(id, bad ? AttemptEnd::broke : AttemptEnd::complete, false, now, out);
      }
    }
    EXPECT_GT(resends, 0u);
    EXPECT_LE(worst, store + 1e-6) << count << " nodes, any window";
    EXPECT_LE(worst_span, store + 1e-6) << count << " nodes, windows of two seconds";
  }
}

namespace {
// Checks every effect and event of a random walk against the rules of at-most-once execution.
class EffectChecker {
 public:
  struct Row {
    std::string route;
    bool ended = false;
    bool active = false;
    bool left = false;   // of the attempt under way
    bool began = false;  // of the request
    bool may_have_run_before = false;
    int sends = 0;
    int ends = 0;
    std::string at;
    std::set<std::string> tried;
    bool may_repeat() const { return route == "safe" || route == "flow"; }
  };
  std::map<std::uint64_t, Row> rows;

  void take(DispatchEffects const& out, Registry& registry) {
    for (std::uint64_t const id : out.cancelled_attempts) {
      ASSERT_TRUE(rows.at(id).active) << id << " has no attempt to cancel";
      stop(rows.at(id), true);
    }
    for (Attempt const& item : out.attempts) {
      Row& row = rows.at(item.request);
      ASSERT_FALSE(row.ended) << "request " << item.request << " is sent after its end";
      ASSERT_FALSE(row.active) << "request " << item.request << " has two attempts at once";
      ASSERT_TRUE(row.tried.insert(item.instance).second)
          << "request " << item.request << " is sent twice to " << item.instance;
      if (!row.may_repeat()) {
        ASSERT_FALSE(row.may_have_run_before) << "request " << item.request << " may run twice";
      }
      ASSERT_EQ(item.resumes_answer, row.began);
      Instance const* const at = registry.find(item.instance);
      ASSERT_NE(at, nullptr);
      ASSERT_TRUE(at->accepts_requests());
      row.active = true;
      row.left = false;
      row.at = item.instance;
    }
    for (Rejection const& item : out.rejections) {
      Row& row = rows.at(item.request);
      ASSERT_FALSE(row.began);
      if (item.retry_after > 0 && !row.may_repeat()) {
        ASSERT_FALSE(row.may_have_run_before)
            << "request " << item.request << " may have run and is refused with a time to retry";
      }
      end(row);
    }
    for (std::uint64_t const id : out.aborted_answers) {
      ASSERT_TRUE(rows.at(id).began);
      end(rows.at(id));
    }
    for (std::uint64_t const id : out.forwarded_failures) {
      ASSERT_FALSE(rows.at(id).began);
      end(rows.at(id));
    }
  }
  void stop(Row& row, bool may_have_run) {
    row.active = false;
    row.may_have_run_before = row.may_have_run_before || (row.left && may_have_run);
  }
  void end(Row& row) {
    ASSERT_EQ(++row.ends, 1) << "a request ended twice";
    ASSERT_FALSE(row.active);
    row.ended = true;
  }
};
}  // namespace

namespace {
// One walk of random events. Its counters are added to 'sum', so that the test notices walks without the events that it
// is meant to cover.
void walk(std::uint64_t seed, DispatchCounters& sum) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  RandomSource random(seed);
  IndexSync index_sync(seed);
  Registry registry("n1");
  registry.set_heartbeat_interval(millis(1000));
  ReportExchange exchange("n1");
  Dispatcher dispatcher("n1", "a", index_sync, registry, exchange);
  dispatcher.set_retry_budget(0.3, 10);
  dispatcher.set_node_count(2);
  std::shared_ptr<Description const> const rules[] = {usual_description(), usual_description()};
  dispatcher.set_description(rules[0]);
  EffectChecker checker;
  Micros now = seconds(10);
  std::uint64_t next = 0;
  std::uint64_t order = 0;
  char const* const routes[] = {"once", "safe", "flow", "live"};
  std::vector<std::uint64_t> open;
  for (int turn = 0; turn < 40000; ++turn) {
    now += static_cast<Micros>(random.below(static_cast<std::uint64_t>(millis(6))));
    if (random.chance(0.003)) now += millis(900);  // a pause without any events
    DispatchEffects out;
    std::uint64_t const event_kind = random.below(100);
    if (event_kind < 12 && next < 2500) {
      std::uint64_t const id = ++next;
      RequestInfo info = request_info(routes[random.below(4)]);
      if (random.chance(0.3)) info.time_remaining = millis(static_cast<std::int64_t>(1 + random.below(1500)));
      if (random.chance(0.5))
        info.parts = parse_prompt_parts("a" + std::to_string(random.below(6)) + ":300,b" + std::to_string(id) + ":9");
      info.input_tokens = static_cast<std::int64_t>(random.below(500));
      checker.rows[id].route = info.path.substr(1, info.path.find('/', 1) - 1);
      open.push_back(id);
      dispatcher.on_request(id, std::move(info), now, out);
    } else if (event_kind < 24) {
      dispatcher.tick(now, out);
    } else if (event_kind < 30) {
      Heartbeat heartbeat =
          heartbeat_of("w" + std::to_string(random.below(6)) + "-" + std::to_string(turn / 2000), ++order);
      heartbeat.leaving = random.chance(0.01);
      registry.heartbeat(heartbeat, now);
    } else if (event_kind < 31) {
      if (random.chance(0.05))
        registry.leave("w" + std::to_string(random.below(6)) + "-" + std::to_string(turn / 2000), ++order, now);
    } else if (event_kind < 33) {
      registry.end_silent_workers(now);
    } else if (event_kind < 34) {
      dispatcher.set_paused(random.chance(0.2));
    } else if (event_kind < 35) {
      dispatcher.set_description(rules[random.below(2)]);
    } else if (!open.empty()) {
      std::size_t const position = random.below(open.size());
      std::uint64_t const id = open[position];
      EffectChecker::Row& row = checker.rows.at(id);
      std::uint64_t const step = random.below(20);
      if (row.ended) {
        // A late event of the executor for a request that has ended.
        dispatcher.on_sent(id, now);
        dispatcher.on_answer_event(id, now);
        dispatcher.on_attempt_end(id, AttemptEnd::broke, false, now, out);
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(position));
      } else if (step == 0) {
        dispatcher.on_client_disconnect(id, now);
        checker.stop(row, true);
        checker.end(row);
      } else if (!row.active) {
      } else if (!row.left) {
        if (step < 5) {
          checker.stop(row, false);
          dispatcher.on_attempt_end(id, AttemptEnd::unreached, false, now, out);
        } else {
          row.left = true;
          ++row.sends;
          dispatcher.on_sent(id, now);
        }
      } else if (step < 6) {
        row.began = true;
        dispatcher.on_answer_begin(id, now);
      } else if (step < 11) {
        if (row.began) dispatcher.on_answer_event(id, now);
      } else if (step < 13) {
        checker.stop(row, true);
        checker.end(row);
        dispatcher.on_attempt_end(id, AttemptEnd::complete, false, now, out);
      } else {
        AttemptEnd const how = step < 15 && !row.began   ? AttemptEnd::declined
                               : step < 17 && !row.began ? AttemptEnd::failed
                                                         : AttemptEnd::broke;
        checker.stop(row, how != AttemptEnd::declined);
        dispatcher.on_attempt_end(id, how, how == AttemptEnd::declined && random.chance(0.5), now, out);
      }
    }
    checker.take(out, registry);
    if (testing::Test::HasFatalFailure()) return;
    if (turn % 50 == 0) {
      std::map<std::string, std::int64_t> running;
      std::size_t alive = 0;
      for (std::pair<std::uint64_t const, EffectChecker::Row> const& item : checker.rows) {
        if (item.second.active) ++running[item.second.at];
        alive += item.second.ended ? 0 : 1;
      }
      ASSERT_EQ(dispatcher.active_requests(), alive);
      for (std::pair<std::string const, Instance> const& item : registry.all) {
        ASSERT_EQ(item.second.running, running[item.first]) << item.first;
        ASSERT_GE(item.second.reserved_tokens, 0);
      }
    }
  }
  dispatcher.set_paused(false);
  for (int i = 0; i < 500; ++i) {
    DispatchEffects out;
    dispatcher.tick(now += millis(10), out);
    checker.take(out, registry);
    if (testing::Test::HasFatalFailure()) return;
  }
  EXPECT_EQ(dispatcher.active_requests(), 0u);
  for (std::pair<std::uint64_t const, EffectChecker::Row> const& item : checker.rows) {
    EXPECT_EQ(item.second.ends, 1) << item.first;
    EXPECT_LE(item.second.sends, 3) << item.first;
  }
  for (std::pair<std::string const, Instance> const& item : registry.all) {
    EXPECT_EQ(item.second.running, 0);
    EXPECT_EQ(item.second.reserved_tokens, 0);
  }
  EXPECT_EQ(checker.rows.size(), 2500u);
  DispatchCounters const& t = dispatcher.counters;
  EXPECT_EQ(t.received, t.served + t.refused + t.failed + t.aborted + t.forwarded_failures + t.client_disconnects);
  sum.retries += t.retries;
  sum.resumed += t.resumed;
  sum.silent_attempts += t.silent_attempts;
  sum.served += t.served;
  sum.forwarded_failures += t.forwarded_failures;
}
}  // namespace

// A node has not read what arrived during a stall, so a worker's silence must not include the stall.
TEST_F(DispatcherTest, a_stall_of_the_node_does_not_count_as_silence_of_a_worker) {
  worker("v");
  worker("w");
  std::string const at = place(1, "flow");
  ASSERT_FALSE(at.empty());
  dispatcher.on_sent(1, now);
  dispatcher.on_answer_begin(1, now);
  dispatcher.tick(now += millis(50), out);
  out = DispatchEffects();
  dispatcher.tick(now += millis(2500), out);
  EXPECT_TRUE(out.cancelled_attempts.empty()) << "bytes that arrived during the stall are still in the socket";
  EXPECT_TRUE(out.attempts.empty());
  dispatcher.on_answer_event(1, now);
  dispatcher.tick(now += millis(50), out);
  EXPECT_TRUE(out.cancelled_attempts.empty());
}

// Its client waits no longer, and the attempt would have no time left.
TEST_F(DispatcherTest, a_request_whose_deadline_passed_during_a_stall_is_not_placed) {
  ASSERT_EQ(place(1, "once"), "") << "there is no worker yet";
  dispatcher.tick(now += millis(50), out);
  ASSERT_TRUE(out.empty());
  worker("w");
  dispatcher.tick(now += seconds(4), out);
  EXPECT_TRUE(out.attempts.empty()) << "its deadline had passed a second before";
  ASSERT_EQ(out.rejections.size(), 1u);
  EXPECT_GT(out.rejections[0].retry_after, 0) << "it has not run";
  EXPECT_TRUE(free_of_work());
}

TEST(DispatcherWalk, every_request_ends_once_and_runs_at_most_once_unless_it_is_repeatable) {
  DispatchCounters sum;
  for (std::uint64_t seed = 1; seed <= 8 && !HasFatalFailure(); ++seed) walk(seed, sum);
  EXPECT_GT(sum.served, 1000u);
  EXPECT_GT(sum.forwarded_failures, 100u);
  EXPECT_GT(sum.retries, 500u);
  EXPECT_GT(sum.resumed, 100u);
  EXPECT_GT(sum.silent_attempts, 20u);
}

}  // namespace pipit
