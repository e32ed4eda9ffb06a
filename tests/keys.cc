// API keys of client requests: responses to clients without a valid key, what workers receive, and requests whose key
// is revoked while they wait (docs/tenants.md).
#include <gtest/gtest.h>

#include "base/invariants.h"
#include "tests/request_proxy_fixture.h"

namespace pipit {

namespace {
std::string const attempt_header = "X-Pipit-Attempt: r1\r\n";
std::string const whole_answer = "HTTP/1.1 200 OK\r\n" + attempt_header + "Content-Length: 2\r\n\r\nok";

class ApiKeys : public RequestProxyTest {
 protected:
  ApiKeys() : lease(seconds(5)) {
    dispatcher.set_lease(lease);
    lease.confirm(g_get_monotonic_time());
    configure("[{\"name\":\"weavers\",\"keys\":[\"key-1\",\"key-2\"]}]");
  }
  void configure(std::string const& tenants) {
    Result<std::shared_ptr<Description const>> const rules =
        read_description("{\"format\":1,\"lanes\":[],\"pools\":[{\"name\":\"p\",\"model\":\"m\"}],\"routes\":[" +
                         route_text("once", "") + "," + route_text("safe", ",\"repeatable\":true") + "," +
                         route_text("open", ",\"public\":true") + "],\"tenants\":" + tenants + "}");
    ASSERT_TRUE(rules);
    dispatcher.set_description(rules.value());
  }
  void tick() {
    DispatchEffects out;
    dispatcher.tick(g_get_monotonic_time(), out);
    apply(out);
  }
  // Replaces the lease by one that was confirmed 'age' ago and is still valid.
  void age_lease(Micros age) {
    aged_lease = std::make_unique<ConfigurationLease>(seconds(5), seconds(2));
    aged_lease->confirm(g_get_monotonic_time() - age);
    dispatcher.set_lease(*aged_lease);
  }
  ConfigurationLease lease;
  std::unique_ptr<ConfigurationLease> aged_lease;
};
std::string const valid_key_header = "Authorization: Bearer key-1\r\n";
}  // namespace

TEST_F(ApiKeys, worker_receives_the_tenant_but_not_the_key) {
  add_worker("w1");
  send_request("POST", "/once/x",
               "authorization: bearer key-2\r\nX-Pipit-Tenant: somebody\r\nx-pipit-tenant: else\r\n"
               "Connection: X-Pipit-Tenant, Authorization\r\n");
  ASSERT_EQ(worker_with_request(), "w1");
  std::string const received = workers.at("w1")->received();
  EXPECT_NE(received.find("X-Pipit-Tenant: weavers\r\n"), std::string::npos) << received;
  EXPECT_EQ(received.find("key-2"), std::string::npos) << received;
  EXPECT_EQ(received.find("somebody"), std::string::npos) << received;
  EXPECT_EQ(received.find("else"), std::string::npos) << received;
  connection_of("w1").send(whole_answer);
  EXPECT_TRUE(client_receives("ok"));
}

TEST_F(ApiKeys, unknown_key_gets_401_and_reaches_no_worker) {
  add_worker("w1");
  for (std::string const& fields :
       {std::string(), std::string("Authorization: Bearer key-3\r\n"), std::string("Authorization: Token key-1\r\n"),
        std::string("Authorization: Bearer\r\n"), std::string("Authorization: Bearer \r\n"),
        std::string("Authorization: key-1\r\n"), valid_key_header + valid_key_header,
        valid_key_header + "authorization: Bearer key-9\r\n",
        "Authorization: Bearer " + std::string(8192, 'k') + "\r\n"}) {
    client.reset();
    send_request("POST", "/once/x", fields);
    EXPECT_TRUE(client_receives("HTTP/1.1 401")) << fields.substr(0, 60) << client->received;
    EXPECT_TRUE(client_receives("WWW-Authenticate: Bearer\r\n"));
    EXPECT_EQ(client->received.find("key-"), std::string::npos) << client->received;
  }
  EXPECT_EQ(workers.at("w1")->received(), "");
  EXPECT_TRUE(no_requests_in_flight());
}

TEST_F(ApiKeys, public_route_needs_no_key_and_drops_the_clients_tenant_header) {
  add_worker("w1");
  send_request("POST", "/open/x", "X-Pipit-Tenant: weavers\r\nAuthorization: Bearer key-3\r\n");
  ASSERT_EQ(worker_with_request(), "w1");
  std::string const received = workers.at("w1")->received();
  EXPECT_EQ(received.find("weavers"), std::string::npos) << received;
  EXPECT_EQ(received.find("key-3"), std::string::npos) << received;
  connection_of("w1").send(whole_answer);
  EXPECT_TRUE(client_receives("ok"));
}

TEST_F(ApiKeys, authorization_header_is_forwarded_if_no_tenants_are_configured) {
  Result<std::shared_ptr<Description const>> const rules =
      read_description("{\"format\":1,\"lanes\":[],\"pools\":[{\"name\":\"p\",\"model\":\"m\"}],\"routes\":[" +
                       route_text("once", "") + "]}");
  dispatcher.set_description(rules.value());
  add_worker("w1");
  send_request("POST", "/once/x", "Authorization: Basic abc\r\n");
  ASSERT_EQ(worker_with_request(), "w1");
  EXPECT_NE(workers.at("w1")->received().find("Authorization: Basic abc\r\n"), std::string::npos);
  connection_of("w1").send(whole_answer);
  EXPECT_TRUE(client_receives("ok"));
}

TEST_F(ApiKeys, without_a_valid_lease_every_key_and_path_gets_503) {
  ConfigurationLease ended(millis(1));
  dispatcher.set_lease(ended);
  add_worker("w1");
  for (std::string const& fields : {valid_key_header, std::string("Authorization: Bearer key-3\r\n")}) {
    client.reset();
    send_request("POST", "/once/x", fields);
    EXPECT_TRUE(client_receives("HTTP/1.1 503")) << client->received;
    EXPECT_TRUE(client_receives("Retry-After:"));
  }
  client.reset();
  send_request("POST", "/nowhere/x", valid_key_header);
  EXPECT_TRUE(client_receives("HTTP/1.1 503")) << "the newest configuration may have this path";
  EXPECT_EQ(workers.at("w1")->received(), "");
}

// A node with a bad connection may have a configuration that was replaced some seconds ago: it must not refuse unknown
// keys and paths permanently.
TEST_F(ApiKeys, unknown_keys_and_paths_are_refused_permanently_only_after_a_recent_confirmation) {
  add_worker("w1");
  age_lease(seconds(3));
  for (std::string const& path : {std::string("/nowhere/x"), std::string("/once/x")}) {
    client.reset();
    send_request("POST", path, path == "/nowhere/x" ? valid_key_header : "Authorization: Bearer key-3\r\n");
    EXPECT_TRUE(client_receives("HTTP/1.1 503")) << path << client->received;
  }
  client.reset();
  send_request("POST", "/once/x", valid_key_header);
  EXPECT_EQ(worker_with_request(), "w1") << "a known key is still accepted";
  connection_of("w1").send(whole_answer);
  EXPECT_TRUE(client_receives("ok"));
  age_lease(seconds(1));
  client.reset();
  send_request("POST", "/nowhere/x", valid_key_header);
  EXPECT_TRUE(client_receives("HTTP/1.1 404"));
}

TEST_F(ApiKeys, waiting_request_is_not_sent_after_its_key_was_revoked) {
  send_request("POST", "/once/x", valid_key_header);
  EXPECT_TRUE(until([&] { return dispatcher.active_requests() == 1; }));
  configure("[{\"name\":\"weavers\",\"keys\":[\"key-2\"]}]");
  add_worker("w1");
  tick();
  EXPECT_TRUE(client_receives("HTTP/1.1 401")) << client->received;
  EXPECT_EQ(workers.at("w1")->received(), "");
}

TEST_F(ApiKeys, request_is_not_retried_after_its_key_was_revoked) {
  add_worker("w1");
  add_worker("w2");
  send_request("POST", "/safe/x", valid_key_header);
  std::string const first = worker_with_request();
  configure("[{\"name\":\"weavers\",\"keys\":[]}]");
  connection_of(first).link->close();
  EXPECT_TRUE(client_receives("HTTP/1.1 ")) << client->received;
  EXPECT_EQ(workers.at(first == "w1" ? "w2" : "w1")->received(), "");
  EXPECT_EQ(client->received.find("200"), std::string::npos);
}

TEST_F(ApiKeys, key_moved_to_another_tenant_names_the_new_tenant) {
  send_request("POST", "/once/x", valid_key_header);
  EXPECT_TRUE(until([&] { return dispatcher.active_requests() == 1; }));
  configure("[{\"name\":\"potters\",\"keys\":[\"key-1\"]}]");
  add_worker("w1");
  tick();
  ASSERT_EQ(worker_with_request(), "w1");
  EXPECT_NE(workers.at("w1")->received().find("X-Pipit-Tenant: potters\r\n"), std::string::npos);
  connection_of("w1").send(whole_answer);
  EXPECT_TRUE(client_receives("ok"));
}

TEST_F(ApiKeys, request_over_the_limit_gets_429_with_retry_after) {
  add_worker("w1");
  configure("[{\"name\":\"weavers\",\"keys\":[\"key-1\"],\"counts\":\"tokens\",\"plain_tokens\":70,\"rate\":10}]");
  quota_result = QuotaResult::Type::refused;
  send_request("POST", "/once/x", valid_key_header + "X-Pipit-Tokens: 1200,34\r\n");
  EXPECT_TRUE(client_receives("HTTP/1.1 429")) << client->received;
  EXPECT_TRUE(client_receives("Retry-After: 1.500\r\n")) << client->received;
  ASSERT_EQ(quota_claims.size(), 1u);
  EXPECT_EQ(quota_claims[0].tenant, "weavers");
  EXPECT_EQ(quota_claims[0].count, 1234);
  quota_result = QuotaResult::Type::unreachable;
  send_request("POST", "/once/x", valid_key_header);
  EXPECT_TRUE(client_receives("HTTP/1.1 503")) << "whether the request is over the limit is unknown";
  EXPECT_EQ(quota_claims[1].count, 70);
  EXPECT_EQ(workers.at("w1")->received(), "");
}

TEST_F(ApiKeys, retry_is_counted_against_the_limit_again) {
  add_worker("w1");
  add_worker("w2");
  configure("[{\"name\":\"weavers\",\"keys\":[\"key-1\"],\"rate\":10}]");
  send_request("POST", "/safe/x", valid_key_header);
  std::string const first = worker_with_request();
  connection_of(first).link->close();
  std::string const second = worker_with_request(first);
  ASSERT_EQ(quota_claims.size(), 2u);
  EXPECT_TRUE(quota_claims[1].is_retry);
  EXPECT_EQ(quota_claims[1].count, 1);
  connection_of(second).send(whole_answer);
  EXPECT_TRUE(client_receives("ok"));
}

}  // namespace pipit
