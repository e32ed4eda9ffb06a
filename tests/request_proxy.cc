// Callers, the relay, the dispatcher and workers made of sockets: what passes through, and what each side is told
// (§12.5).
#include <gtest/gtest.h>

#include <glib.h>

#include "tests/request_proxy_fixture.h"

namespace pipit {

namespace {
std::string const mine = "X-Pipit-Attempt: r1\r\n";

// Workers whose successes bear a seal.
class SealedResponseTest : public RequestProxyTest {
 protected:
  static Dialect with_seal() {
    Dialect out;
    out.seal = "X-Seal";
    return out;
  }
  SealedResponseTest() : RequestProxyTest(with_seal()) {}
};
}  // namespace

TEST_F(RequestProxyTest, a_request_and_its_answer_pass_through) {
  add_worker("w");
  send_request("POST", "/once/x?y=z", "Connection: X-Mine\r\nX-Mine: 1\r\nX-Yours: 2\r\n");
  ASSERT_EQ(worker_with_request(), "w");
  std::string const got = workers["w"]->received();
  EXPECT_EQ(got.substr(0, 28), "POST /once/x?y=z HTTP/1.1\r\nH");
  for (char const* const there :
       {"X-Yours: 2", "X-Pipit-Instance: w", "X-Pipit-Left-Ms: ", "Content-Length: 2\r\n", "\r\n\r\nhi"})
    EXPECT_NE(got.find(there), std::string::npos) << there;
  EXPECT_EQ(got.find("X-Mine"), std::string::npos);
  connection_of("w").send("HTTP/1.1 201 Made\r\n" + mine +
                          "Keep-Alive: timeout=9\r\nX-Back: 3\r\nContent-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("yes"));
  EXPECT_EQ(client->got.substr(0, 18), "HTTP/1.1 201 Made\r");
  EXPECT_NE(client->got.find("X-Back: 3"), std::string::npos);
  EXPECT_EQ(client->got.find("Keep-Alive"), std::string::npos);
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, HEAD_is_answered_with_a_head) {
  add_worker("w");
  send_request("HEAD", "/once/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + mine + "Content-Length: 5000\r\n\r\n");
  ASSERT_TRUE(client_receives("\r\n\r\n"));
  EXPECT_NE(client->got.find("Content-Length: 5000"), std::string::npos);
  EXPECT_TRUE(no_requests_in_flight());
  EXPECT_EQ(proxy.upstream.idle_connections("w"), 1u);
}

TEST_F(RequestProxyTest, what_there_is_no_route_for_is_said_not_to_have_run) {
  send_request("POST", "/nowhere/x");
  ASSERT_TRUE(client_receives("}"));
  EXPECT_EQ(client->got.substr(0, 12), "HTTP/1.1 404");
  EXPECT_NE(client->got.find("\"ran\":\"no\""), std::string::npos) << client->got;
  EXPECT_EQ(client->got.find("Retry-After"), std::string::npos);
}

TEST_F(RequestProxyTest, a_worker_that_breaks_before_its_answer_leaves_doubt) {
  add_worker("w");
  add_worker("v");
  send_request("POST", "/once/x");
  std::string const first = worker_with_request();
  connection_of(first).link->close();
  ASSERT_TRUE(client_receives("}"));
  EXPECT_EQ(client->got.substr(0, 12), "HTTP/1.1 502");
  EXPECT_NE(client->got.find("\"ran\":\"unknown\""), std::string::npos) << client->got;
  EXPECT_EQ(client->got.find("Retry-After"), std::string::npos);
  EXPECT_EQ(workers[first == "w" ? "v" : "w"]->received(), "");
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, what_a_worker_did_not_run_goes_to_another) {
  for (std::string const& answer :
       {std::string("503 Busy\r\nX-Pipit-Not-Run: 1\r\n"), std::string("421 Elsewhere\r\n")}) {
    add_worker("w");
    add_worker("v");
    send_request("POST", "/once/x");
    std::string const first = worker_with_request();
    connection_of(first).send("HTTP/1.1 " + answer + mine + "Content-Length: 0\r\n\r\n");
    std::string const second = worker_with_request(first);
    connection_of(second).send("HTTP/1.1 200 OK\r\n" + mine + "Content-Length: 3\r\n\r\nyes");
    ASSERT_TRUE(client_receives("yes"));
    EXPECT_TRUE(no_requests_in_flight());
    workers.clear();
    registry.all.clear();
    settle();
  }
}

TEST_F(RequestProxyTest, a_workers_own_failure_passes_back) {
  add_worker("w");
  send_request("POST", "/once/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 500 Odd\r\n" + mine + "Content-Length: 3\r\n\r\nbad");
  ASSERT_TRUE(client_receives("bad"));
  EXPECT_EQ(client->got.substr(0, 16), "HTTP/1.1 500 Odd");
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, a_stream_goes_on_at_another_worker_and_no_event_comes_twice) {
  add_worker("w");
  add_worker("v");
  send_request("POST", "/flow/x");
  std::string const first = worker_with_request();
  connection_of(first).send("HTTP/1.1 200 OK\r\n" + mine +
                            "Transfer-Encoding: chunked\r\n\r\n1c\r\nid: 1\ndata: a\n\nid: 2\ndata: b\r\n");
  ASSERT_TRUE(client_receives("data: a\n\n"));
  EXPECT_EQ(client->got.find("data: b"), std::string::npos) << "not before it is whole";
  connection_of(first).link->close(true);
  std::string const second = worker_with_request(first);
  EXPECT_NE(workers[second]->received().find("Last-Event-Id: 1\r\n"), std::string::npos);
  connection_of(second).send("HTTP/1.1 200 OK\r\n" + mine +
                             "Content-Length: 45\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  ASSERT_TRUE(client_receives("0\r\n\r\n"));
  for (char const* const part : {"data: a\n\n", "data: b\n\n", "data: c\n\n"})
    EXPECT_EQ(count_of(client->got, part), 1u) << part;
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, a_stream_that_cannot_go_on_does_not_look_whole) {
  add_worker("w");
  add_worker("v");
  send_request("POST", "/live/x");
  std::string const first = worker_with_request();
  connection_of(first).send("HTTP/1.1 200 OK\r\n" + mine + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
  ASSERT_TRUE(client_receives("hello"));
  connection_of(first).link->close();
  ASSERT_TRUE(until([&] { return client->shut; }));
  EXPECT_EQ(client->got.find("0\r\n\r\n"), std::string::npos);
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, a_stream_without_content_is_no_body) {
  add_worker("w");
  send_request("POST", "/flow/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 204 None\r\n" + mine + "\r\n");
  ASSERT_TRUE(client_receives("\r\n\r\n"));
  settle();
  EXPECT_TRUE(client->got.ends_with("\r\n\r\n"));
  EXPECT_EQ(client->got.find("chunked"), std::string::npos);
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, a_caller_that_leaves_takes_its_attempt_along) {
  add_worker("w");
  send_request("POST", "/live/x");
  ASSERT_EQ(worker_with_request(), "w");
  client->link->close();
  ASSERT_TRUE(until([&] { return connection_of("w").shut; }));
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, an_answer_that_names_no_request_is_no_answer_and_its_connection_is_not_used_again) {
  add_worker("w");
  send_request("POST", "/once/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("}"));
  EXPECT_EQ(client->got.substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(client->got.find("yes"), std::string::npos);
  EXPECT_EQ(proxy.upstream.idle_connections("w"), 0u);
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, a_refusal_that_names_no_request_is_believed_only_where_nothing_was_asked_before) {
  add_worker("w");
  send_request("POST", "/once/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + mine + "Content-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("yes"));
  ASSERT_EQ(proxy.upstream.idle_connections("w"), 1u);
  send_request("POST", "/once/x");
  ASSERT_TRUE(until([&] { return count_of(connection_of("w").got, "POST ") == 2; }));
  // It may be a late word about the first request.
  connection_of("w").send("HTTP/1.1 503 Busy\r\nX-Pipit-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(client_receives("}"));
  EXPECT_EQ(client->got.substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(proxy.upstream.idle_connections("w"), 0u);
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, an_answer_that_names_two_requests_is_no_answer) {
  add_worker("w");
  send_request("POST", "/once/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + mine + "X-Pipit-Attempt: r2\r\nContent-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("}"));
  EXPECT_EQ(client->got.substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(proxy.upstream.idle_connections("w"), 0u);
}

TEST_F(RequestProxyTest, a_status_that_promises_without_the_mark_is_no_promise) {
  for (char const* const status : {"408 Late", "429 Many", "503 Busy"}) {
    add_worker("w");
    add_worker("v");
    send_request("POST", "/once/x");
    std::string const first = worker_with_request();
    connection_of(first).send("HTTP/1.1 " + std::string(status) + "\r\n" + mine +
                              "X-Seal: s\r\nContent-Length: 2\r\n\r\nno");
    ASSERT_TRUE(client_receives("\r\n\r\n"));
    settle();
    EXPECT_EQ(client->got.substr(0, 12), "HTTP/1.1 502") << status;
    EXPECT_NE(client->got.find("\"ran\":\"unknown\""), std::string::npos) << client->got;
    EXPECT_EQ(client->got.find("X-Seal"), std::string::npos) << "the worker gave another status";
    EXPECT_EQ(workers[first == "w" ? "v" : "w"]->received(), "") << "it may have run";
    EXPECT_TRUE(no_requests_in_flight());
    workers.clear();
    registry.all.clear();
    settle();
  }
}

TEST_F(RequestProxyTest, a_failure_whose_body_is_too_large_to_hold_is_not_passed_back_in_part) {
  add_worker("w");
  send_request("POST", "/once/x");
  ASSERT_EQ(worker_with_request(), "w");
  std::string const body(3u << 20, 'z');
  connection_of("w").send("HTTP/1.1 500 Odd\r\n" + mine + "Content-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body);
  ASSERT_TRUE(client_receives("\r\n\r\n"));
  EXPECT_EQ(client->got.substr(0, 12), "HTTP/1.1 502");
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, numbers_without_bound_are_taken_as_the_largest) {
  add_worker("w");
  send_request("POST", "/once/x",
               "X-Pipit-Left-Ms: 18446744073709552\r\nX-Pipit-Tokens: 9223372036854775807,9223372036854775807\r\n");
  ASSERT_TRUE(until([&] { return !workers["w"]->received().empty() || !client->got.empty(); }));
  ASSERT_EQ(client->got, "");
  EXPECT_GT(registry.find("w")->reserved_tokens, 0);
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + mine +
                          "X-Pipit-Load: 9223372036854775807,9223372036854775807,8\r\nContent-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("yes"));
  EXPECT_GT(registry.find("w")->reported_load, 0);
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, a_caller_cannot_have_the_request_id_or_the_host_taken_away) {
  add_worker("w");
  send_request("POST", "/once/x", "Connection: X-Pipit-Attempt, Host, X-Mine\r\nX-Mine: 1\r\n");
  ASSERT_EQ(worker_with_request(), "w");
  std::string const got = workers["w"]->received();
  EXPECT_NE(got.find("X-Pipit-Attempt: r1\r\n"), std::string::npos) << got;
  EXPECT_NE(got.find("Host: h.test:80\r\n"), std::string::npos) << got;
  EXPECT_EQ(got.find("X-Mine"), std::string::npos);
}

TEST_F(RequestProxyTest, a_stream_whose_events_bear_no_id_is_not_taken_up_elsewhere) {
  add_worker("w");
  add_worker("v");
  send_request("POST", "/flow/x");
  std::string const first = worker_with_request();
  connection_of(first).send("HTTP/1.1 200 OK\r\n" + mine + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n");
  ASSERT_TRUE(client_receives("data: a\n\n"));
  connection_of(first).link->close(true);
  ASSERT_TRUE(until([&] { return client->shut || !workers[first == "w" ? "v" : "w"]->received().empty(); }));
  EXPECT_TRUE(client->shut);
  EXPECT_EQ(workers[first == "w" ? "v" : "w"]->received(), "") << "from where, nobody could tell";
  EXPECT_EQ(client->got.find("0\r\n\r\n"), std::string::npos);
  EXPECT_TRUE(no_requests_in_flight());
}

// What a worker reckons with is the caller's, whatever the caller lists as its connection's own.
TEST_F(RequestProxyTest, a_caller_cannot_have_the_fields_of_its_prompt_taken_away) {
  add_worker("w");
  std::string const prompt =
      "X-Pipit-Model: m\r\nX-Pipit-Tokens: 10,5\r\nX-Pipit-Parts: 5c1e07a2:10\r\nLast-Event-Id: 4\r\n";
  send_request("POST", "/flow/x",
               "Connection: X-Pipit-Model, x-pipit-tokens, X-Pipit-Parts, Last-Event-Id, X-Pipit-Left-Ms, X-Mine\r\n"
               "X-Mine: 1\r\nX-Pipit-Left-Ms: 3000\r\n" +
                   prompt);
  ASSERT_EQ(worker_with_request(), "w");
  std::string const got = workers["w"]->received();
  EXPECT_NE(got.find(prompt), std::string::npos) << got;
  EXPECT_NE(got.find("X-Pipit-Left-Ms: 2"), std::string::npos) << got;
  EXPECT_EQ(got.find("X-Mine"), std::string::npos);
}

TEST_F(RequestProxyTest, a_caller_that_waits_no_longer_is_refused_and_not_sent_on) {
  add_worker("w");
  for (char const* const left : {"0", "-5", "20"}) {
    send_request("POST", "/once/x", "X-Pipit-Left-Ms: " + std::string(left) + "\r\n");
    ASSERT_TRUE(until([&] { return !client->got.empty() || !workers["w"]->received().empty(); }));
    EXPECT_EQ(client->got.substr(0, 12), "HTTP/1.1 503") << left;
    EXPECT_EQ(workers["w"]->received(), "") << left;
    settle();
  }
}

// A worker may break off in the middle of an event, and its answer may end with its connection.
TEST_F(RequestProxyTest, a_stream_without_length_that_ends_in_an_event_is_not_whole) {
  std::string const head = "HTTP/1.1 200 OK\r\n" + mine + "\r\n";
  add_worker("w");
  add_worker("v");
  send_request("POST", "/flow/x");
  std::string const first = worker_with_request();
  connection_of(first).send(head + "id: 1\ndata: a\n\nid: 2\nda");
  ASSERT_TRUE(client_receives("data: a\n\n"));
  connection_of(first).link->close();
  std::string const second = worker_with_request(first);
  ASSERT_NE(second, "");
  EXPECT_NE(workers[second]->received().find("Last-Event-Id: 1\r\n"), std::string::npos);
  connection_of(second).send(head + "id: 2\ndata: b\n\n");
  ASSERT_TRUE(client_receives("data: b\n\n"));
  connection_of(second).link->close();
  ASSERT_TRUE(client_receives("0\r\n\r\n")) << "after an event it is whole";
  EXPECT_EQ(count_of(client->got, "id: 2"), 1u);
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, a_stream_that_may_not_go_on_and_ends_in_an_event_is_broken_off) {
  add_worker("w");
  for (bool const whole : {true, false}) {
    send_request("POST", "/live/x");
    ASSERT_TRUE(until([&] { return count_of(workers["w"]->received(), "POST ") == (whole ? 1u : 2u); }));
    connection_of("w").send("HTTP/1.1 200 OK\r\n" + mine + "\r\nid: 1\ndata: a\n\n");
    ASSERT_TRUE(client_receives("data: a\n\n"));
    if (!whole) connection_of("w").send("id: 2\nda");
    ASSERT_TRUE(client_receives(whole ? "data: a\n\n" : "id: 2\nda"));
    connection_of("w").link->close();
    connection_of("w").shut = true;
    ASSERT_TRUE(until([&] { return client->shut || count_of(client->got, "0\r\n\r\n") > 0; }));
    EXPECT_EQ(client->shut, !whole);
    EXPECT_EQ(count_of(client->got, "\r\n0\r\n\r\n"), whole ? 1u : 0u);
    EXPECT_TRUE(no_requests_in_flight());
  }
}

// A caller's time runs from the first byte of its request, however long the rest takes.
TEST_F(RequestProxyTest, the_time_that_a_body_takes_to_come_is_the_callers) {
  add_worker("w");
  ManualTime time(g_get_monotonic_time());
  client = std::make_unique<LoopbackStream>(address);
  client->send(
      "POST /once/x HTTP/1.1\r\nHost: h.test\r\nX-Pipit-Attempt: r1\r\nX-Pipit-Left-Ms: 2000\r\n"
      "Content-Length: 2\r\n\r\nh");
  ASSERT_TRUE(until([&] { return proxy.server.connections() == 1; }));
  settle();
  time.advance(millis(700));
  client->send("i");
  ASSERT_EQ(worker_with_request(), "w");
  std::string const got = workers["w"]->received();
  std::size_t const at = got.find("X-Pipit-Left-Ms: ");
  ASSERT_NE(at, std::string::npos) << got;
  EXPECT_LE(std::stoi(got.substr(at + 17)), 1300);
  EXPECT_GT(std::stoi(got.substr(at + 17)), 1100);
}

// The request lay unread while its caller gave it up: no worker begins with it.
TEST_F(RequestProxyTest, what_a_caller_has_given_up_unread_goes_to_no_worker) {
  add_worker("w");
  send_request("POST", "/safe/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + mine + "Content-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("yes"));
  ASSERT_EQ(proxy.upstream.idle_connections("w"), 1u);
  for (bool const reset : {false, true}) {
    LoopbackStream other(address);
    settle();
    std::size_t const there = proxy.server.connections();
    other.send("POST /safe/x HTTP/1.1\r\nHost: h.test\r\nX-Pipit-Attempt: r2\r\nContent-Length: 2\r\n\r\nhi");
    other.link->close(reset);
    ASSERT_TRUE(until([&] { return proxy.server.connections() == there - 1; }));
    settle();
    EXPECT_EQ(count_of(workers["w"]->received(), "POST "), 1u) << "a worker would begin with it";
    EXPECT_TRUE(no_requests_in_flight());
  }
}

// A worker that refuses before it has read a long body, and ends the connection with bytes unread, resets it.
TEST_F(RequestProxyTest, a_refusal_before_the_body_was_read_is_heard_although_a_reset_follows) {
  add_worker("w");
  add_worker("v");
  std::string const body(4u << 20, 'z');
  client = std::make_unique<LoopbackStream>(address);
  client->send("POST /once/x HTTP/1.1\r\nHost: h.test\r\nX-Pipit-Attempt: r1\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n");
  client->send(body);
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
  connection.shut = true;
  std::string const other = first == "w" ? "v" : "w";
  ASSERT_TRUE(until([&] { return !client->got.empty() || workers[other]->received().size() > body.size(); }));
  ASSERT_EQ(client->got, "") << "it was told not to have run";
  connection_of(other).send("HTTP/1.1 200 OK\r\n" + mine + "Content-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("yes"));
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(SealedResponseTest, a_success_without_the_seal_is_no_answer_and_failures_need_none) {
  add_worker("w");
  send_request("POST", "/once/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + mine + "Content-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("\r\n\r\n"));
  EXPECT_EQ(client->got.substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(client->got.find("yes"), std::string::npos);
  EXPECT_EQ(proxy.upstream.idle_connections("w"), 0u);
  for (std::string const& status : {std::string("200 OK\r\nX-Seal: s\r\n"), std::string("500 Odd\r\n")}) {
    workers.clear();
    registry.all.clear();
    settle();
    add_worker("w");
    send_request("POST", "/once/x");
    ASSERT_EQ(worker_with_request(), "w");
    connection_of("w").send("HTTP/1.1 " + status + mine + "Content-Length: 3\r\n\r\nyes");
    ASSERT_TRUE(client_receives("yes")) << status;
  }
  EXPECT_TRUE(no_requests_in_flight());
}

}  // namespace pipit
