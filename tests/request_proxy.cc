// Requests through RequestProxy and Dispatcher between a client and workers on loopback sockets: what is forwarded,
// what is retried, and which response the client receives (§12.5).
#include <gtest/gtest.h>

#include <glib.h>

#include "tests/request_proxy_fixture.h"

namespace pipit {

namespace {
std::string const attempt_id = "X-Pipit-Attempt: r1\r\n";

// Requires the seal header in successful responses of workers.
class SealedResponseTest : public RequestProxyTest {
 protected:
  static HeaderNames with_seal() {
    HeaderNames out;
    out.seal = "X-Seal";
    return out;
  }
  SealedResponseTest() : RequestProxyTest(with_seal()) {}
};
}  // namespace

TEST_F(RequestProxyTest, forwards_requests_and_responses) {
  add_worker("w");
  send_request("POST", "/once/x?y=z", "Connection: X-Mine\r\nX-Mine: 1\r\nX-Yours: 2\r\n");
  ASSERT_EQ(worker_with_request(), "w");
  std::string const received = workers["w"]->received();
  EXPECT_EQ(received.substr(0, 28), "POST /once/x?y=z HTTP/1.1\r\nH");
  for (char const* const expected :
       {"X-Yours: 2", "X-Pipit-Instance: w", "X-Pipit-Left-Ms: ", "Content-Length: 2\r\n", "\r\n\r\nhi"})
    EXPECT_NE(received.find(expected), std::string::npos) << expected;
  EXPECT_EQ(received.find("X-Mine"), std::string::npos);
  connection_of("w").send("HTTP/1.1 201 Made\r\n" + attempt_id +
                          "Keep-Alive: timeout=9\r\nX-Back: 3\r\nContent-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("yes"));
  EXPECT_EQ(client->received.substr(0, 18), "HTTP/1.1 201 Made\r");
  EXPECT_NE(client->received.find("X-Back: 3"), std::string::npos);
  EXPECT_EQ(client->received.find("Keep-Alive"), std::string::npos);
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, forwards_the_response_to_head_without_a_body) {
  add_worker("w");
  send_request("HEAD", "/once/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + attempt_id + "Content-Length: 5000\r\n\r\n");
  ASSERT_TRUE(client_receives("\r\n\r\n"));
  EXPECT_NE(client->received.find("Content-Length: 5000"), std::string::npos);
  EXPECT_TRUE(no_requests_in_flight());
  EXPECT_EQ(proxy.upstream.idle_connections("w"), 1u);
}

// A worker that is faster than the client waits: the node buffers a part of the answer only.
TEST_F(RequestProxyTest, large_answer_waits_at_the_worker_for_a_slow_client) {
  constexpr std::size_t length = 64u << 20;
  add_worker("w");
  send_request("POST", "/once/x");
  ASSERT_EQ(worker_with_request(), "w");
  client->link->pause_reading(true);
  LoopbackStream& worker = connection_of("w");
  worker.send("HTTP/1.1 200 OK\r\n" + attempt_id + "Content-Length: " + std::to_string(length) + "\r\n\r\n" +
              std::string(length, 'x'));
  ASSERT_TRUE(until([&] { return proxy.server.backlog_of(1, loop_time()).bytes > 0; }));
  settle();
  EXPECT_LT(proxy.server.backlog_of(1, loop_time()).bytes, std::size_t{1} << 20);
  EXPECT_GT(worker.link->buffered_bytes(), length / 2);
  client->link->pause_reading(false);
  ASSERT_TRUE(until([&] { return client->received.size() > length; }));
  ASSERT_TRUE(until([&] { return no_requests_in_flight(); }));
  EXPECT_EQ(proxy.upstream.idle_connections("w"), 1u);
}

TEST_F(RequestProxyTest, request_without_a_route_gets_404_and_is_reported_as_not_executed) {
  send_request("POST", "/nowhere/x");
  ASSERT_TRUE(client_receives("}"));
  EXPECT_EQ(client->received.substr(0, 12), "HTTP/1.1 404");
  EXPECT_NE(client->received.find("\"ran\":\"no\""), std::string::npos) << client->received;
  EXPECT_EQ(client->received.find("Retry-After"), std::string::npos);
}

TEST_F(RequestProxyTest, connection_closed_before_the_response_leaves_the_execution_status_unknown) {
  add_worker("w");
  add_worker("v");
  send_request("POST", "/once/x");
  std::string const first = worker_with_request();
  connection_of(first).link->close();
  ASSERT_TRUE(client_receives("}"));
  EXPECT_EQ(client->received.substr(0, 12), "HTTP/1.1 502");
  EXPECT_NE(client->received.find("\"ran\":\"unknown\""), std::string::npos) << client->received;
  EXPECT_EQ(client->received.find("Retry-After"), std::string::npos);
  EXPECT_EQ(workers[first == "w" ? "v" : "w"]->received(), "");
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, request_that_a_worker_did_not_execute_is_retried_on_another) {
  for (std::string const& answer :
       {std::string("503 Busy\r\nX-Pipit-Not-Run: 1\r\n"), std::string("421 Elsewhere\r\n")}) {
    add_worker("w");
    add_worker("v");
    send_request("POST", "/once/x");
    std::string const first = worker_with_request();
    connection_of(first).send("HTTP/1.1 " + answer + attempt_id + "Content-Length: 0\r\n\r\n");
    std::string const second = worker_with_request(first);
    connection_of(second).send("HTTP/1.1 200 OK\r\n" + attempt_id + "Content-Length: 3\r\n\r\nyes");
    ASSERT_TRUE(client_receives("yes"));
    EXPECT_TRUE(no_requests_in_flight());
    workers.clear();
    registry.all.clear();
    settle();
  }
}

TEST_F(RequestProxyTest, error_response_of_a_worker_is_forwarded) {
  add_worker("w");
  send_request("POST", "/once/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 500 Odd\r\n" + attempt_id + "Content-Length: 3\r\n\r\nbad");
  ASSERT_TRUE(client_receives("bad"));
  EXPECT_EQ(client->received.substr(0, 16), "HTTP/1.1 500 Odd");
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, interrupted_stream_resumes_on_another_worker_without_duplicate_events) {
  add_worker("w");
  add_worker("v");
  send_request("POST", "/flow/x");
  std::string const first = worker_with_request();
  connection_of(first).send("HTTP/1.1 200 OK\r\n" + attempt_id +
                            "Transfer-Encoding: chunked\r\n\r\n1c\r\nid: 1\ndata: a\n\nid: 2\ndata: b\r\n");
  ASSERT_TRUE(client_receives("data: a\n\n"));
  EXPECT_EQ(client->received.find("data: b"), std::string::npos) << "an incomplete event must not be forwarded";
  connection_of(first).link->close(true);
  std::string const second = worker_with_request(first);
  EXPECT_NE(workers[second]->received().find("Last-Event-Id: 1\r\n"), std::string::npos);
  connection_of(second).send("HTTP/1.1 200 OK\r\n" + attempt_id +
                             "Content-Length: 45\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  ASSERT_TRUE(client_receives("0\r\n\r\n"));
  for (char const* const part : {"data: a\n\n", "data: b\n\n", "data: c\n\n"})
    EXPECT_EQ(count_of(client->received, part), 1u) << part;
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, interrupted_stream_that_is_not_resumable_is_not_terminated) {
  add_worker("w");
  add_worker("v");
  send_request("POST", "/live/x");
  std::string const first = worker_with_request();
  connection_of(first).send("HTTP/1.1 200 OK\r\n" + attempt_id + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
  ASSERT_TRUE(client_receives("hello"));
  connection_of(first).link->close();
  ASSERT_TRUE(until([&] { return client->closed; }));
  EXPECT_EQ(client->received.find("0\r\n\r\n"), std::string::npos);
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, stream_response_204_has_no_body) {
  add_worker("w");
  send_request("POST", "/flow/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 204 None\r\n" + attempt_id + "\r\n");
  ASSERT_TRUE(client_receives("\r\n\r\n"));
  settle();
  EXPECT_TRUE(client->received.ends_with("\r\n\r\n"));
  EXPECT_EQ(client->received.find("chunked"), std::string::npos);
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, client_disconnect_cancels_the_attempt) {
  add_worker("w");
  send_request("POST", "/live/x");
  ASSERT_EQ(worker_with_request(), "w");
  client->link->close();
  ASSERT_TRUE(until([&] { return connection_of("w").closed; }));
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, response_without_a_request_id_is_rejected_and_its_connection_closed) {
  add_worker("w");
  send_request("POST", "/once/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("}"));
  EXPECT_EQ(client->received.substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(client->received.find("yes"), std::string::npos);
  EXPECT_EQ(proxy.upstream.idle_connections("w"), 0u);
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, rejection_without_a_request_id_is_accepted_only_on_a_new_connection) {
  add_worker("w");
  send_request("POST", "/once/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + attempt_id + "Content-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("yes"));
  ASSERT_EQ(proxy.upstream.idle_connections("w"), 1u);
  send_request("POST", "/once/x");
  ASSERT_TRUE(until([&] { return count_of(connection_of("w").received, "POST ") == 2; }));
  // It may be a late response to the first request.
  connection_of("w").send("HTTP/1.1 503 Busy\r\nX-Pipit-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(client_receives("}"));
  EXPECT_EQ(client->received.substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(proxy.upstream.idle_connections("w"), 0u);
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, response_with_two_request_ids_is_rejected) {
  add_worker("w");
  send_request("POST", "/once/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + attempt_id + "X-Pipit-Attempt: r2\r\nContent-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("}"));
  EXPECT_EQ(client->received.substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(proxy.upstream.idle_connections("w"), 0u);
}

TEST_F(RequestProxyTest, overload_status_without_the_not_executed_header_is_not_retried) {
  for (char const* const status : {"408 Late", "429 Many", "503 Busy"}) {
    add_worker("w");
    add_worker("v");
    send_request("POST", "/once/x");
    std::string const first = worker_with_request();
    connection_of(first).send("HTTP/1.1 " + std::string(status) + "\r\n" + attempt_id +
                              "X-Seal: s\r\nContent-Length: 2\r\n\r\nno");
    ASSERT_TRUE(client_receives("\r\n\r\n"));
    settle();
    EXPECT_EQ(client->received.substr(0, 12), "HTTP/1.1 502") << status;
    EXPECT_NE(client->received.find("\"ran\":\"unknown\""), std::string::npos) << client->received;
    EXPECT_EQ(client->received.find("X-Seal"), std::string::npos) << "the seal belongs to another status";
    EXPECT_EQ(workers[first == "w" ? "v" : "w"]->received(), "")
        << "the request may have been executed, so it must not be retried";
    EXPECT_TRUE(no_requests_in_flight());
    workers.clear();
    registry.all.clear();
    settle();
  }
}

TEST_F(RequestProxyTest, error_response_too_large_to_buffer_is_not_forwarded_in_part) {
  add_worker("w");
  send_request("POST", "/once/x");
  ASSERT_EQ(worker_with_request(), "w");
  std::string const body(3u << 20, 'z');
  connection_of("w").send("HTTP/1.1 500 Odd\r\n" + attempt_id + "Content-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body);
  ASSERT_TRUE(client_receives("\r\n\r\n"));
  EXPECT_EQ(client->received.substr(0, 12), "HTTP/1.1 502");
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, huge_numbers_in_headers_are_clamped) {
  add_worker("w");
  send_request("POST", "/once/x",
               "X-Pipit-Left-Ms: 18446744073709552\r\nX-Pipit-Tokens: 9223372036854775807,9223372036854775807\r\n");
  ASSERT_TRUE(until([&] { return !workers["w"]->received().empty() || !client->received.empty(); }));
  ASSERT_EQ(client->received, "");
  EXPECT_GT(registry.find("w")->reserved_tokens, 0);
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + attempt_id +
                          "X-Pipit-Load: 9223372036854775807,9223372036854775807,8\r\nContent-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("yes"));
  EXPECT_GT(registry.find("w")->reported_load, 0);
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, connection_header_cannot_remove_the_request_id_or_the_host) {
  add_worker("w");
  send_request("POST", "/once/x", "Connection: X-Pipit-Attempt, Host, X-Mine\r\nX-Mine: 1\r\n");
  ASSERT_EQ(worker_with_request(), "w");
  std::string const received = workers["w"]->received();
  EXPECT_NE(received.find("X-Pipit-Attempt: r1\r\n"), std::string::npos) << received;
  EXPECT_NE(received.find("Host: h.test:80\r\n"), std::string::npos) << received;
  EXPECT_EQ(received.find("X-Mine"), std::string::npos);
}

TEST_F(RequestProxyTest, stream_of_events_without_ids_is_not_resumed) {
  add_worker("w");
  add_worker("v");
  send_request("POST", "/flow/x");
  std::string const first = worker_with_request();
  connection_of(first).send("HTTP/1.1 200 OK\r\n" + attempt_id +
                            "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n");
  ASSERT_TRUE(client_receives("data: a\n\n"));
  connection_of(first).link->close(true);
  ASSERT_TRUE(until([&] { return client->closed || !workers[first == "w" ? "v" : "w"]->received().empty(); }));
  EXPECT_TRUE(client->closed);
  EXPECT_EQ(workers[first == "w" ? "v" : "w"]->received(), "")
      << "without event ids the position to resume from is unknown";
  EXPECT_EQ(client->received.find("0\r\n\r\n"), std::string::npos);
  EXPECT_TRUE(no_requests_in_flight());
}

// The client lists them in its Connection header, but workers need them: they are not hop-by-hop fields.
TEST_F(RequestProxyTest, connection_header_cannot_remove_the_request_headers_for_the_worker) {
  add_worker("w");
  std::string const prompt =
      "X-Pipit-Model: m\r\nX-Pipit-Tokens: 10,5\r\nX-Pipit-Parts: 5c1e07a2:10\r\nLast-Event-Id: 4\r\n";
  send_request("POST", "/flow/x",
               "Connection: X-Pipit-Model, x-pipit-tokens, X-Pipit-Parts, Last-Event-Id, X-Pipit-Left-Ms, X-Mine\r\n"
               "X-Mine: 1\r\nX-Pipit-Left-Ms: 3000\r\n" +
                   prompt);
  ASSERT_EQ(worker_with_request(), "w");
  std::string const received = workers["w"]->received();
  EXPECT_NE(received.find(prompt), std::string::npos) << received;
  EXPECT_NE(received.find("X-Pipit-Left-Ms: 2"), std::string::npos) << received;
  EXPECT_EQ(received.find("X-Mine"), std::string::npos);
}

TEST_F(RequestProxyTest, request_whose_deadline_has_passed_is_rejected_and_not_forwarded) {
  add_worker("w");
  for (char const* const remaining_ms : {"0", "-5", "20"}) {
    send_request("POST", "/once/x", "X-Pipit-Left-Ms: " + std::string(remaining_ms) + "\r\n");
    ASSERT_TRUE(until([&] { return !client->received.empty() || !workers["w"]->received().empty(); }));
    EXPECT_EQ(client->received.substr(0, 12), "HTTP/1.1 503") << remaining_ms;
    EXPECT_EQ(workers["w"]->received(), "") << remaining_ms;
    settle();
  }
}

// The end of a connection is the regular end of a response without length, but the worker may have failed within an
// event.
TEST_F(RequestProxyTest, stream_without_length_that_ends_within_an_event_is_resumed) {
  std::string const head = "HTTP/1.1 200 OK\r\n" + attempt_id + "\r\n";
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
  ASSERT_TRUE(client_receives("0\r\n\r\n")) << "a stream that ends after an event is complete";
  EXPECT_EQ(count_of(client->received, "id: 2"), 1u);
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(RequestProxyTest, stream_that_is_not_resumable_and_ends_within_an_event_is_aborted) {
  add_worker("w");
  for (bool const whole : {true, false}) {
    send_request("POST", "/live/x");
    ASSERT_TRUE(until([&] { return count_of(workers["w"]->received(), "POST ") == (whole ? 1u : 2u); }));
    connection_of("w").send("HTTP/1.1 200 OK\r\n" + attempt_id + "\r\nid: 1\ndata: a\n\n");
    ASSERT_TRUE(client_receives("data: a\n\n"));
    if (!whole) connection_of("w").send("id: 2\nda");
    ASSERT_TRUE(client_receives(whole ? "data: a\n\n" : "id: 2\nda"));
    connection_of("w").link->close();
    connection_of("w").closed = true;
    ASSERT_TRUE(until([&] { return client->closed || count_of(client->received, "0\r\n\r\n") > 0; }));
    EXPECT_EQ(client->closed, !whole);
    EXPECT_EQ(count_of(client->received, "\r\n0\r\n\r\n"), whole ? 1u : 0u);
    EXPECT_TRUE(no_requests_in_flight());
  }
}

// The time left to a client counts from the first byte of its request, however long the other bytes take.
TEST_F(RequestProxyTest, time_to_receive_the_body_counts_against_the_deadline) {
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
  std::string const received = workers["w"]->received();
  std::size_t const at = received.find("X-Pipit-Left-Ms: ");
  ASSERT_NE(at, std::string::npos) << received;
  EXPECT_LE(std::stoi(received.substr(at + 17)), 1300);
  EXPECT_GT(std::stoi(received.substr(at + 17)), 1100);
}

// The client closes its connection before the proxy reads the request.
TEST_F(RequestProxyTest, request_of_a_client_that_already_disconnected_is_not_forwarded) {
  add_worker("w");
  send_request("POST", "/safe/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + attempt_id + "Content-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("yes"));
  ASSERT_EQ(proxy.upstream.idle_connections("w"), 1u);
  for (bool const reset : {false, true}) {
    LoopbackStream other(address);
    settle();
    std::size_t const connections = proxy.server.connections();
    other.send("POST /safe/x HTTP/1.1\r\nHost: h.test\r\nX-Pipit-Attempt: r2\r\nContent-Length: 2\r\n\r\nhi");
    other.link->close(reset);
    ASSERT_TRUE(until([&] { return proxy.server.connections() == connections - 1; }));
    settle();
    EXPECT_EQ(count_of(workers["w"]->received(), "POST "), 1u)
        << "a worker received a request whose client had disconnected";
    EXPECT_TRUE(no_requests_in_flight());
  }
}

// A worker that rejects a request before it has read its long body, and closes the connection with bytes unread, resets
// the connection.
TEST_F(RequestProxyTest, rejection_sent_before_the_body_was_read_is_handled_despite_a_reset) {
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
  connection.send("HTTP/1.1 503 Busy\r\n" + attempt_id +
                  "X-Pipit-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  connection.link->close();
  connection.closed = true;
  std::string const other = first == "w" ? "v" : "w";
  ASSERT_TRUE(until([&] { return !client->received.empty() || workers[other]->received().size() > body.size(); }));
  ASSERT_EQ(client->received, "") << "the worker reported that it did not execute the request, so it must be retried";
  connection_of(other).send("HTTP/1.1 200 OK\r\n" + attempt_id + "Content-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("yes"));
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(SealedResponseTest, success_without_the_seal_is_rejected_and_errors_need_no_seal) {
  add_worker("w");
  send_request("POST", "/once/x");
  ASSERT_EQ(worker_with_request(), "w");
  connection_of("w").send("HTTP/1.1 200 OK\r\n" + attempt_id + "Content-Length: 3\r\n\r\nyes");
  ASSERT_TRUE(client_receives("\r\n\r\n"));
  EXPECT_EQ(client->received.substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(client->received.find("yes"), std::string::npos);
  EXPECT_EQ(proxy.upstream.idle_connections("w"), 0u);
  for (std::string const& status : {std::string("200 OK\r\nX-Seal: s\r\n"), std::string("500 Odd\r\n")}) {
    workers.clear();
    registry.all.clear();
    settle();
    add_worker("w");
    send_request("POST", "/once/x");
    ASSERT_EQ(worker_with_request(), "w");
    connection_of("w").send("HTTP/1.1 " + status + attempt_id + "Content-Length: 3\r\n\r\nyes");
    ASSERT_TRUE(client_receives("yes")) << status;
  }
  EXPECT_TRUE(no_requests_in_flight());
}

}  // namespace pipit
