// Callers, the relay, the dispatcher and workers made of sockets: what passes through, and what each side is told
// (§12.5).
#include <gtest/gtest.h>

#include <glib.h>

#include "tests/passing.h"

namespace pipit {

namespace {
std::string const mine = "X-Pipit-Attempt: r1\r\n";

// Workers whose successes bear a seal.
class Sealed : public Passing {
 protected:
  static HeaderNames with_seal() {
    HeaderNames out;
    out.seal = "X-Seal";
    return out;
  }
  Sealed() : Passing(with_seal()) {}
};
}  // namespace

TEST_F(Passing, a_request_and_its_answer_pass_through) {
  worker("w");
  ask("POST", "/once/x?y=z", "Connection: X-Mine\r\nX-Mine: 1\r\nX-Yours: 2\r\n");
  ASSERT_EQ(reached(), "w");
  std::string const got = workers["w"]->got();
  EXPECT_EQ(got.substr(0, 28), "POST /once/x?y=z HTTP/1.1\r\nH");
  for (char const* const there :
       {"X-Yours: 2", "X-Pipit-Instance: w", "X-Pipit-Left-Ms: ", "Content-Length: 2\r\n", "\r\n\r\nhi"})
    EXPECT_NE(got.find(there), std::string::npos) << there;
  EXPECT_EQ(got.find("X-Mine"), std::string::npos);
  connection_of("w").send("HTTP/1.1 201 Made\r\n" + mine +
                          "Keep-Alive: timeout=9\r\nX-Back: 3\r\nContent-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(hears("yes"));
  EXPECT_EQ(caller->received.substr(0, 18), "HTTP/1.1 201 Made\r");
  EXPECT_NE(caller->received.find("X-Back: 3"), std::string::npos);
  EXPECT_EQ(caller->received.find("Keep-Alive"), std::string::npos);
  EXPECT_TRUE(quiet());
}

TEST_F(Passing, HEAD_is_answered_with_a_head) {
  worker("w");
  ask("HEAD", "/once/x");
  ASSERT_EQ(reached(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + mine + "Content-Length: 5000\r\n\r\n");
  ASSERT_TRUE(hears("\r\n\r\n"));
  EXPECT_NE(caller->received.find("Content-Length: 5000"), std::string::npos);
  EXPECT_TRUE(quiet());
  EXPECT_EQ(relay.upstream.kept("w"), 1u);
}

TEST_F(Passing, what_there_is_no_route_for_is_said_not_to_have_run) {
  ask("POST", "/nowhere/x");
  ASSERT_TRUE(hears("}"));
  EXPECT_EQ(caller->received.substr(0, 12), "HTTP/1.1 404");
  EXPECT_NE(caller->received.find("\"ran\":\"no\""), std::string::npos) << caller->received;
  EXPECT_EQ(caller->received.find("Retry-After"), std::string::npos);
}

TEST_F(Passing, a_worker_that_breaks_before_its_answer_leaves_doubt) {
  worker("w");
  worker("v");
  ask("POST", "/once/x");
  std::string const first = reached();
  connection_of(first).link->close();
  ASSERT_TRUE(hears("}"));
  EXPECT_EQ(caller->received.substr(0, 12), "HTTP/1.1 502");
  EXPECT_NE(caller->received.find("\"ran\":\"unknown\""), std::string::npos) << caller->received;
  EXPECT_EQ(caller->received.find("Retry-After"), std::string::npos);
  EXPECT_EQ(workers[first == "w" ? "v" : "w"]->got(), "");
  EXPECT_TRUE(quiet());
}

TEST_F(Passing, what_a_worker_did_not_run_goes_to_another) {
  for (std::string const& answer :
       {std::string("503 Busy\r\nX-Pipit-Not-Run: 1\r\n"), std::string("421 Elsewhere\r\n")}) {
    worker("w");
    worker("v");
    ask("POST", "/once/x");
    std::string const first = reached();
    connection_of(first).send("HTTP/1.1 " + answer + mine + "Content-Length: 0\r\n\r\n");
    std::string const second = reached(first);
    connection_of(second).send("HTTP/1.1 200 OK\r\n" + mine + "Content-Length: 3\r\n\r\nyes");
    ASSERT_TRUE(hears("yes"));
    EXPECT_TRUE(quiet());
    workers.clear();
    registry.all.clear();
    settle();
  }
}

TEST_F(Passing, a_workers_own_failure_passes_back) {
  worker("w");
  ask("POST", "/once/x");
  ASSERT_EQ(reached(), "w");
  connection_of("w").send("HTTP/1.1 500 Odd\r\n" + mine + "Content-Length: 3\r\n\r\nbad");
  ASSERT_TRUE(hears("bad"));
  EXPECT_EQ(caller->received.substr(0, 16), "HTTP/1.1 500 Odd");
  EXPECT_TRUE(quiet());
}

TEST_F(Passing, a_stream_goes_on_at_another_worker_and_no_event_comes_twice) {
  worker("w");
  worker("v");
  ask("POST", "/flow/x");
  std::string const first = reached();
  connection_of(first).send("HTTP/1.1 200 OK\r\n" + mine +
                            "Transfer-Encoding: chunked\r\n\r\n1c\r\nid: 1\ndata: a\n\nid: 2\ndata: b\r\n");
  ASSERT_TRUE(hears("data: a\n\n"));
  EXPECT_EQ(caller->received.find("data: b"), std::string::npos) << "not before it is whole";
  connection_of(first).link->close(true);
  std::string const second = reached(first);
  EXPECT_NE(workers[second]->got().find("Last-Event-Id: 1\r\n"), std::string::npos);
  connection_of(second).send("HTTP/1.1 200 OK\r\n" + mine +
                             "Content-Length: 45\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  ASSERT_TRUE(hears("0\r\n\r\n"));
  for (char const* const part : {"data: a\n\n", "data: b\n\n", "data: c\n\n"})
    EXPECT_EQ(count_of(caller->received, part), 1u) << part;
  EXPECT_TRUE(quiet());
}

TEST_F(Passing, a_stream_that_cannot_go_on_does_not_look_whole) {
  worker("w");
  worker("v");
  ask("POST", "/live/x");
  std::string const first = reached();
  connection_of(first).send("HTTP/1.1 200 OK\r\n" + mine + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
  ASSERT_TRUE(hears("hello"));
  connection_of(first).link->close();
  ASSERT_TRUE(until([&] { return caller->closed; }));
  EXPECT_EQ(caller->received.find("0\r\n\r\n"), std::string::npos);
  EXPECT_TRUE(quiet());
}

TEST_F(Passing, a_stream_without_content_is_no_body) {
  worker("w");
  ask("POST", "/flow/x");
  ASSERT_EQ(reached(), "w");
  connection_of("w").send("HTTP/1.1 204 None\r\n" + mine + "\r\n");
  ASSERT_TRUE(hears("\r\n\r\n"));
  settle();
  EXPECT_TRUE(caller->received.ends_with("\r\n\r\n"));
  EXPECT_EQ(caller->received.find("chunked"), std::string::npos);
  EXPECT_TRUE(quiet());
}

TEST_F(Passing, a_caller_that_leaves_takes_its_attempt_along) {
  worker("w");
  ask("POST", "/live/x");
  ASSERT_EQ(reached(), "w");
  caller->link->close();
  ASSERT_TRUE(until([&] { return connection_of("w").closed; }));
  EXPECT_TRUE(quiet());
}

TEST_F(Passing, an_answer_that_names_no_request_is_no_answer_and_its_connection_is_not_used_again) {
  worker("w");
  ask("POST", "/once/x");
  ASSERT_EQ(reached(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(hears("}"));
  EXPECT_EQ(caller->received.substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(caller->received.find("yes"), std::string::npos);
  EXPECT_EQ(relay.upstream.kept("w"), 0u);
  EXPECT_TRUE(quiet());
}

TEST_F(Passing, a_refusal_that_names_no_request_is_believed_only_where_nothing_was_asked_before) {
  worker("w");
  ask("POST", "/once/x");
  ASSERT_EQ(reached(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + mine + "Content-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(hears("yes"));
  ASSERT_EQ(relay.upstream.kept("w"), 1u);
  ask("POST", "/once/x");
  ASSERT_TRUE(until([&] { return count_of(connection_of("w").received, "POST ") == 2; }));
  // It may be a late word about the first request.
  connection_of("w").send("HTTP/1.1 503 Busy\r\nX-Pipit-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(hears("}"));
  EXPECT_EQ(caller->received.substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(relay.upstream.kept("w"), 0u);
  EXPECT_TRUE(quiet());
}

TEST_F(Passing, an_answer_that_names_two_requests_is_no_answer) {
  worker("w");
  ask("POST", "/once/x");
  ASSERT_EQ(reached(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + mine + "X-Pipit-Attempt: r2\r\nContent-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(hears("}"));
  EXPECT_EQ(caller->received.substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(relay.upstream.kept("w"), 0u);
}

TEST_F(Passing, a_status_that_promises_without_the_mark_is_no_promise) {
  for (char const* const status : {"408 Late", "429 Many", "503 Busy"}) {
    worker("w");
    worker("v");
    ask("POST", "/once/x");
    std::string const first = reached();
    connection_of(first).send("HTTP/1.1 " + std::string(status) + "\r\n" + mine +
                              "X-Seal: s\r\nContent-Length: 2\r\n\r\nno");
    ASSERT_TRUE(hears("\r\n\r\n"));
    settle();
    EXPECT_EQ(caller->received.substr(0, 12), "HTTP/1.1 502") << status;
    EXPECT_NE(caller->received.find("\"ran\":\"unknown\""), std::string::npos) << caller->received;
    EXPECT_EQ(caller->received.find("X-Seal"), std::string::npos) << "the worker gave another status";
    EXPECT_EQ(workers[first == "w" ? "v" : "w"]->got(), "") << "it may have run";
    EXPECT_TRUE(quiet());
    workers.clear();
    registry.all.clear();
    settle();
  }
}

TEST_F(Passing, a_failure_whose_body_is_too_large_to_hold_is_not_passed_back_in_part) {
  worker("w");
  ask("POST", "/once/x");
  ASSERT_EQ(reached(), "w");
  std::string const body(3u << 20, 'z');
  connection_of("w").send("HTTP/1.1 500 Odd\r\n" + mine + "Content-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body);
  ASSERT_TRUE(hears("\r\n\r\n"));
  EXPECT_EQ(caller->received.substr(0, 12), "HTTP/1.1 502");
  EXPECT_TRUE(quiet());
}

TEST_F(Passing, numbers_without_bound_are_taken_as_the_largest) {
  worker("w");
  ask("POST", "/once/x",
      "X-Pipit-Left-Ms: 18446744073709552\r\nX-Pipit-Tokens: 9223372036854775807,9223372036854775807\r\n");
  ASSERT_TRUE(until([&] { return !workers["w"]->got().empty() || !caller->received.empty(); }));
  ASSERT_EQ(caller->received, "");
  EXPECT_GT(registry.find("w")->reserved_tokens, 0);
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + mine +
                          "X-Pipit-Load: 9223372036854775807,9223372036854775807,8\r\nContent-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(hears("yes"));
  EXPECT_GT(registry.find("w")->reported_load, 0);
  EXPECT_TRUE(quiet());
}

TEST_F(Passing, a_caller_cannot_have_the_request_id_or_the_host_taken_away) {
  worker("w");
  ask("POST", "/once/x", "Connection: X-Pipit-Attempt, Host, X-Mine\r\nX-Mine: 1\r\n");
  ASSERT_EQ(reached(), "w");
  std::string const got = workers["w"]->got();
  EXPECT_NE(got.find("X-Pipit-Attempt: r1\r\n"), std::string::npos) << got;
  EXPECT_NE(got.find("Host: h.test:80\r\n"), std::string::npos) << got;
  EXPECT_EQ(got.find("X-Mine"), std::string::npos);
}

TEST_F(Passing, a_stream_whose_events_bear_no_id_is_not_taken_up_elsewhere) {
  worker("w");
  worker("v");
  ask("POST", "/flow/x");
  std::string const first = reached();
  connection_of(first).send("HTTP/1.1 200 OK\r\n" + mine + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n");
  ASSERT_TRUE(hears("data: a\n\n"));
  connection_of(first).link->close(true);
  ASSERT_TRUE(until([&] { return caller->closed || !workers[first == "w" ? "v" : "w"]->got().empty(); }));
  EXPECT_TRUE(caller->closed);
  EXPECT_EQ(workers[first == "w" ? "v" : "w"]->got(), "") << "from where, nobody could tell";
  EXPECT_EQ(caller->received.find("0\r\n\r\n"), std::string::npos);
  EXPECT_TRUE(quiet());
}

// What a worker reckons with is the caller's, whatever the caller lists as its connection's own.
TEST_F(Passing, a_caller_cannot_have_the_fields_of_its_prompt_taken_away) {
  worker("w");
  std::string const prompt =
      "X-Pipit-Model: m\r\nX-Pipit-Tokens: 10,5\r\nX-Pipit-Parts: 5c1e07a2:10\r\nLast-Event-Id: 4\r\n";
  ask("POST", "/flow/x",
      "Connection: X-Pipit-Model, x-pipit-tokens, X-Pipit-Parts, Last-Event-Id, X-Pipit-Left-Ms, X-Mine\r\n"
      "X-Mine: 1\r\nX-Pipit-Left-Ms: 3000\r\n" +
          prompt);
  ASSERT_EQ(reached(), "w");
  std::string const got = workers["w"]->got();
  EXPECT_NE(got.find(prompt), std::string::npos) << got;
  EXPECT_NE(got.find("X-Pipit-Left-Ms: 2"), std::string::npos) << got;
  EXPECT_EQ(got.find("X-Mine"), std::string::npos);
}

TEST_F(Passing, a_caller_that_waits_no_longer_is_refused_and_not_sent_on) {
  worker("w");
  for (char const* const left : {"0", "-5", "20"}) {
    ask("POST", "/once/x", "X-Pipit-Left-Ms: " + std::string(left) + "\r\n");
    ASSERT_TRUE(until([&] { return !caller->received.empty() || !workers["w"]->got().empty(); }));
    EXPECT_EQ(caller->received.substr(0, 12), "HTTP/1.1 503") << left;
    EXPECT_EQ(workers["w"]->got(), "") << left;
    settle();
  }
}

// A worker may break off in the middle of an event, and its answer may end with its connection.
TEST_F(Passing, a_stream_without_length_that_ends_in_an_event_is_not_whole) {
  std::string const head = "HTTP/1.1 200 OK\r\n" + mine + "\r\n";
  worker("w");
  worker("v");
  ask("POST", "/flow/x");
  std::string const first = reached();
  connection_of(first).send(head + "id: 1\ndata: a\n\nid: 2\nda");
  ASSERT_TRUE(hears("data: a\n\n"));
  connection_of(first).link->close();
  std::string const second = reached(first);
  ASSERT_NE(second, "");
  EXPECT_NE(workers[second]->got().find("Last-Event-Id: 1\r\n"), std::string::npos);
  connection_of(second).send(head + "id: 2\ndata: b\n\n");
  ASSERT_TRUE(hears("data: b\n\n"));
  connection_of(second).link->close();
  ASSERT_TRUE(hears("0\r\n\r\n")) << "after an event it is whole";
  EXPECT_EQ(count_of(caller->received, "id: 2"), 1u);
  EXPECT_TRUE(quiet());
}

TEST_F(Passing, a_stream_that_may_not_go_on_and_ends_in_an_event_is_broken_off) {
  worker("w");
  for (bool const whole : {true, false}) {
    ask("POST", "/live/x");
    ASSERT_TRUE(until([&] { return count_of(workers["w"]->got(), "POST ") == (whole ? 1u : 2u); }));
    connection_of("w").send("HTTP/1.1 200 OK\r\n" + mine + "\r\nid: 1\ndata: a\n\n");
    ASSERT_TRUE(hears("data: a\n\n"));
    if (!whole) connection_of("w").send("id: 2\nda");
    ASSERT_TRUE(hears(whole ? "data: a\n\n" : "id: 2\nda"));
    connection_of("w").link->close();
    connection_of("w").closed = true;
    ASSERT_TRUE(until([&] { return caller->closed || count_of(caller->received, "0\r\n\r\n") > 0; }));
    EXPECT_EQ(caller->closed, !whole);
    EXPECT_EQ(count_of(caller->received, "\r\n0\r\n\r\n"), whole ? 1u : 0u);
    EXPECT_TRUE(quiet());
  }
}

// A caller's time runs from the first byte of its request, however long the rest takes.
TEST_F(Passing, the_time_that_a_body_takes_to_come_is_the_callers) {
  worker("w");
  ManualTime time(g_get_monotonic_time());
  caller = std::make_unique<LoopbackStream>(address);
  caller->send(
      "POST /once/x HTTP/1.1\r\nHost: h.test\r\nX-Pipit-Attempt: r1\r\nX-Pipit-Left-Ms: 2000\r\n"
      "Content-Length: 2\r\n\r\nh");
  ASSERT_TRUE(until([&] { return relay.server.connections() == 1; }));
  settle();
  time.advance(millis(700));
  caller->send("i");
  ASSERT_EQ(reached(), "w");
  std::string const got = workers["w"]->got();
  std::size_t const at = got.find("X-Pipit-Left-Ms: ");
  ASSERT_NE(at, std::string::npos) << got;
  EXPECT_LE(std::stoi(got.substr(at + 17)), 1300);
  EXPECT_GT(std::stoi(got.substr(at + 17)), 1100);
}

// The request lay unread while its caller gave it up: no worker begins with it.
TEST_F(Passing, what_a_caller_has_given_up_unread_goes_to_no_worker) {
  worker("w");
  ask("POST", "/safe/x");
  ASSERT_EQ(reached(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + mine + "Content-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(hears("yes"));
  ASSERT_EQ(relay.upstream.kept("w"), 1u);
  for (bool const reset : {false, true}) {
    LoopbackStream other(address);
    settle();
    std::size_t const there = relay.server.connections();
    other.send("POST /safe/x HTTP/1.1\r\nHost: h.test\r\nX-Pipit-Attempt: r2\r\nContent-Length: 2\r\n\r\nhi");
    other.link->close(reset);
    ASSERT_TRUE(until([&] { return relay.server.connections() == there - 1; }));
    settle();
    EXPECT_EQ(count_of(workers["w"]->got(), "POST "), 1u) << "a worker would begin with it";
    EXPECT_TRUE(quiet());
  }
}

// A worker that refuses before it has read a long body, and ends the connection with bytes unread, resets it.
TEST_F(Passing, a_refusal_before_the_body_was_read_is_heard_although_a_reset_follows) {
  worker("w");
  worker("v");
  std::string const body(4u << 20, 'z');
  caller = std::make_unique<LoopbackStream>(address);
  caller->send("POST /once/x HTTP/1.1\r\nHost: h.test\r\nX-Pipit-Attempt: r1\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n");
  caller->send(body);
  std::string first;
  ASSERT_TRUE(until([&] {
    for (std::pair<std::string const, std::unique_ptr<Worker>> const& item : workers)
      if (!item.second->connections.empty()) first = item.first;
    return !first.empty();
  }));
  LoopbackStream& connection = connection_of(first);
  connection.link->pause_reading(true);
  connection.send("HTTP/1.1 503 Busy\r\n" + mine +
                  "X-Pipit-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  connection.link->close();
  connection.closed = true;
  std::string const other = first == "w" ? "v" : "w";
  ASSERT_TRUE(until([&] { return !caller->received.empty() || workers[other]->got().size() > body.size(); }));
  ASSERT_EQ(caller->received, "") << "it was told not to have run";
  connection_of(other).send("HTTP/1.1 200 OK\r\n" + mine + "Content-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(hears("yes"));
  EXPECT_TRUE(quiet());
}

TEST_F(Sealed, a_success_without_the_seal_is_no_answer_and_failures_need_none) {
  worker("w");
  ask("POST", "/once/x");
  ASSERT_EQ(reached(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + mine + "Content-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(hears("\r\n\r\n"));
  EXPECT_EQ(caller->received.substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(caller->received.find("yes"), std::string::npos);
  EXPECT_EQ(relay.upstream.kept("w"), 0u);
  for (std::string const& status : {std::string("200 OK\r\nX-Seal: s\r\n"), std::string("500 Odd\r\n")}) {
    workers.clear();
    registry.all.clear();
    settle();
    worker("w");
    ask("POST", "/once/x");
    ASSERT_EQ(reached(), "w");
    connection_of("w").send("HTTP/1.1 " + status + mine + "Content-Length: 3\r\n\r\nyes");
    ASSERT_TRUE(hears("yes")) << status;
  }
  EXPECT_TRUE(quiet());
}

}  // namespace pipit
