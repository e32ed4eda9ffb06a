// Keys on the path of a request: what callers without one are told, what workers see, and what happens to a request
// that waits while its key is taken away (docs/tenants.md).
#include <gtest/gtest.h>

#include "base/invariants.h"
#include "tests/passing.h"

namespace pipit {

namespace {
std::string const mine = "X-Pipit-Attempt: r1\r\n";
std::string const whole_answer = "HTTP/1.1 200 OK\r\n" + mine + "Content-Length: 2\r\n\r\nok";

class Keyed : public Passing {
 protected:
  Keyed() : lease(seconds(5)) {
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
    obey(out);
  }
  // The configuration was last confirmed so long ago; it still lets requests run.
  void age_lease(Micros age) {
    older = std::make_unique<ConfigurationLease>(seconds(5), seconds(2));
    older->confirm(g_get_monotonic_time() - age);
    dispatcher.set_lease(*older);
  }
  ConfigurationLease lease;
  std::unique_ptr<ConfigurationLease> older;
};
std::string const good = "Authorization: Bearer key-1\r\n";
}  // namespace

TEST_F(Keyed, a_worker_sees_the_tenant_and_never_the_key) {
  worker("w1");
  ask("POST", "/once/x",
      "authorization: bearer key-2\r\nX-Pipit-Tenant: somebody\r\nx-pipit-tenant: else\r\n"
      "Connection: X-Pipit-Tenant, Authorization\r\n");
  ASSERT_EQ(reached(), "w1");
  std::string const got = workers.at("w1")->got();
  EXPECT_NE(got.find("X-Pipit-Tenant: weavers\r\n"), std::string::npos) << got;
  EXPECT_EQ(got.find("key-2"), std::string::npos) << got;
  EXPECT_EQ(got.find("somebody"), std::string::npos) << got;
  EXPECT_EQ(got.find("else"), std::string::npos) << got;
  connection_of("w1").send(whole_answer);
  EXPECT_TRUE(hears("ok"));
}

TEST_F(Keyed, callers_without_a_known_key_get_401_and_no_worker_hears_of_it) {
  worker("w1");
  for (std::string const& fields :
       {std::string(), std::string("Authorization: Bearer key-3\r\n"), std::string("Authorization: Token key-1\r\n"),
        std::string("Authorization: Bearer\r\n"), std::string("Authorization: Bearer \r\n"),
        std::string("Authorization: key-1\r\n"), good + good, good + "authorization: Bearer key-9\r\n",
        "Authorization: Bearer " + std::string(8192, 'k') + "\r\n"}) {
    caller.reset();
    ask("POST", "/once/x", fields);
    EXPECT_TRUE(hears("HTTP/1.1 401")) << fields.substr(0, 60) << caller->got;
    EXPECT_TRUE(hears("WWW-Authenticate: Bearer\r\n"));
    EXPECT_EQ(caller->got.find("key-"), std::string::npos) << caller->got;
  }
  EXPECT_EQ(workers.at("w1")->got(), "");
  EXPECT_TRUE(quiet());
}

TEST_F(Keyed, a_public_route_needs_no_key_and_names_no_tenant_that_a_caller_made_up) {
  worker("w1");
  ask("POST", "/open/x", "X-Pipit-Tenant: weavers\r\nAuthorization: Bearer key-3\r\n");
  ASSERT_EQ(reached(), "w1");
  std::string const got = workers.at("w1")->got();
  EXPECT_EQ(got.find("weavers"), std::string::npos) << got;
  EXPECT_EQ(got.find("key-3"), std::string::npos) << got;
  connection_of("w1").send(whole_answer);
  EXPECT_TRUE(hears("ok"));
}

TEST_F(Keyed, without_tenants_the_field_passes_as_any_other) {
  Result<std::shared_ptr<Description const>> const rules =
      read_description("{\"format\":1,\"lanes\":[],\"pools\":[{\"name\":\"p\",\"model\":\"m\"}],\"routes\":[" +
                       route_text("once", "") + "]}");
  dispatcher.set_description(rules.value());
  worker("w1");
  ask("POST", "/once/x", "Authorization: Basic abc\r\n");
  ASSERT_EQ(reached(), "w1");
  EXPECT_NE(workers.at("w1")->got().find("Authorization: Basic abc\r\n"), std::string::npos);
  connection_of("w1").send(whole_answer);
  EXPECT_TRUE(hears("ok"));
}

TEST_F(Keyed, without_the_lease_nobody_is_let_in_and_nobody_is_said_to_be_unknown) {
  ConfigurationLease ended(millis(1));
  dispatcher.set_lease(ended);
  worker("w1");
  for (std::string const& fields : {good, std::string("Authorization: Bearer key-3\r\n")}) {
    caller.reset();
    ask("POST", "/once/x", fields);
    EXPECT_TRUE(hears("HTTP/1.1 503")) << caller->got;
    EXPECT_TRUE(hears("Retry-After:"));
  }
  caller.reset();
  ask("POST", "/nowhere/x", good);
  EXPECT_TRUE(hears("HTTP/1.1 503")) << "a path that the newest configuration may know";
  EXPECT_EQ(workers.at("w1")->got(), "");
}

// A node that hears little may hold a configuration that others replaced some seconds ago: what it does not know of is
// not refused for good.
TEST_F(Keyed, what_is_unknown_is_refused_for_good_only_by_a_configuration_that_was_just_confirmed) {
  worker("w1");
  age_lease(seconds(3));
  for (std::string const& path : {std::string("/nowhere/x"), std::string("/once/x")}) {
    caller.reset();
    ask("POST", path, path == "/nowhere/x" ? good : "Authorization: Bearer key-3\r\n");
    EXPECT_TRUE(hears("HTTP/1.1 503")) << path << caller->got;
  }
  caller.reset();
  ask("POST", "/once/x", good);
  EXPECT_EQ(reached(), "w1") << "a key that is known still lets a request run";
  connection_of("w1").send(whole_answer);
  EXPECT_TRUE(hears("ok"));
  age_lease(seconds(1));
  caller.reset();
  ask("POST", "/nowhere/x", good);
  EXPECT_TRUE(hears("HTTP/1.1 404"));
}

TEST_F(Keyed, a_request_that_waits_for_a_worker_is_not_sent_once_its_key_is_gone) {
  ask("POST", "/once/x", good);
  EXPECT_TRUE(until([&] { return dispatcher.active_requests() == 1; }));
  configure("[{\"name\":\"weavers\",\"keys\":[\"key-2\"]}]");
  worker("w1");
  tick();
  EXPECT_TRUE(hears("HTTP/1.1 401")) << caller->got;
  EXPECT_EQ(workers.at("w1")->got(), "");
}

TEST_F(Keyed, a_request_is_not_sent_to_another_worker_once_its_key_is_gone) {
  worker("w1");
  worker("w2");
  ask("POST", "/safe/x", good);
  std::string const first = reached();
  configure("[{\"name\":\"weavers\",\"keys\":[]}]");
  connection_of(first).link->close();
  EXPECT_TRUE(hears("HTTP/1.1 ")) << caller->got;
  EXPECT_EQ(workers.at(first == "w1" ? "w2" : "w1")->got(), "");
  EXPECT_EQ(caller->got.find("200"), std::string::npos);
}

TEST_F(Keyed, a_key_that_passed_on_to_another_tenant_names_that_one) {
  ask("POST", "/once/x", good);
  EXPECT_TRUE(until([&] { return dispatcher.active_requests() == 1; }));
  configure("[{\"name\":\"potters\",\"keys\":[\"key-1\"]}]");
  worker("w1");
  tick();
  ASSERT_EQ(reached(), "w1");
  EXPECT_NE(workers.at("w1")->got().find("X-Pipit-Tenant: potters\r\n"), std::string::npos);
  connection_of("w1").send(whole_answer);
  EXPECT_TRUE(hears("ok"));
}

TEST_F(Keyed, beyond_the_limit_is_refused_at_once_with_when_to_come_back) {
  worker("w1");
  configure("[{\"name\":\"weavers\",\"keys\":[\"key-1\"],\"counts\":\"tokens\",\"plain_tokens\":70,\"rate\":10}]");
  quota_answer = QuotaResult::Type::refused;
  ask("POST", "/once/x", good + "X-Pipit-Tokens: 1200,34\r\n");
  EXPECT_TRUE(hears("HTTP/1.1 429")) << caller->got;
  EXPECT_TRUE(hears("Retry-After: 1.500\r\n")) << caller->got;
  ASSERT_EQ(quota_needs.size(), 1u);
  EXPECT_EQ(quota_needs[0].tenant, "weavers");
  EXPECT_EQ(quota_needs[0].count, 1234);
  quota_answer = QuotaResult::Type::unreachable;
  ask("POST", "/once/x", good);
  EXPECT_TRUE(hears("HTTP/1.1 503")) << "nobody knows whether it is beyond the limit";
  EXPECT_EQ(quota_needs[1].count, 70);
  EXPECT_EQ(workers.at("w1")->got(), "");
}

TEST_F(Keyed, what_is_sent_again_is_counted_again) {
  worker("w1");
  worker("w2");
  configure("[{\"name\":\"weavers\",\"keys\":[\"key-1\"],\"rate\":10}]");
  ask("POST", "/safe/x", good);
  std::string const first = reached();
  connection_of(first).link->close();
  std::string const second = reached(first);
  ASSERT_EQ(quota_needs.size(), 2u);
  EXPECT_TRUE(quota_needs[1].is_retry);
  EXPECT_EQ(quota_needs[1].count, 1);
  connection_of(second).send(whole_answer);
  EXPECT_TRUE(hears("ok"));
}

}  // namespace pipit
