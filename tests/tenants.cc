// API keys and limits of tenants: their configuration, the configuration lease that keys need, and how quota is granted
// (docs/tenants.md).
#include <gtest/gtest.h>

#include <algorithm>

#include "base/invariants.h"
#include "base/key_digest.h"
#include "config/description/description.h"
#include "routing/tenants/configuration_lease.h"
#include "routing/tenants/quota_client.h"
#include "routing/tenants/quota_owner.h"
#include "routing/tenants/quota_shares.h"
#include "platform/description.h"

namespace pipit {

namespace {
constexpr char base[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\",\"service\":\"s\","
    "\"timeout_ms\":1000,\"priority\":1},{\"name\":\"open\",\"host\":\"h\",\"path_prefix\":\"/open/"
    "\",\"service\":\"s\","
    "\"timeout_ms\":1000,\"public\":true}],\"services\":[{\"name\":\"s\"}],\"tenants\":";

Result<std::shared_ptr<Description const>> with_tenants(std::string const& tenants) {
  Result<platform::Configuration> const made = platform::read_complete_configuration(base + tenants + "}");
  if (!made) return made.as_failure();
  return platform::read_configuration(made.value().text);
}

Tenant tenant_of(std::int64_t rate, std::int64_t burst) {
  Tenant out;
  out.name = "t";
  out.unit = CountingUnit::tokens;
  out.rate = rate;
  out.burst = burst;
  return out;
}

QuotaTerms strict_terms() {
  QuotaTerms out;
  out.window = seconds(8);
  out.overshoot = 0.1;
  out.slack = 140000;
  return out;
}

Membership set_of(std::uint64_t epoch, std::vector<std::string> const& names,
                  std::vector<std::string> const& former = {}) {
  Membership out;
  out.epoch = epoch;
  std::uint64_t disk = 1;
  for (std::string const& name : names) {
    out.replicas.emplace_back();
    out.replicas.back().name = name;
    out.replicas.back().disk = disk++;
  }
  for (std::string const& name : former) {
    out.former.emplace_back();
    out.former.back().name = name;
    out.former.back().disk = disk++;
  }
  return out;
}
}  // namespace

TEST(Tenants, configuration_is_parsed) {
  Result<std::shared_ptr<Description const>> const read = with_tenants(
      "[{\"name\":\"kaje80\",\"api_keys\":[\"one\",\"two\"],\"priority\":1,\"counting_unit\":\"by_tokens\","
      "\"uncached_tokens\":200,\"requests_per_s\":926801,\"burst_size\":5},{\"name\":\"free\",\"api_keys\":[\"three\"]}"
      "]");
  ASSERT_TRUE(read) << read.error().what;
  Description const& made = *read.value();
  EXPECT_TRUE(made.keys_required);
  Tenant const* const tenant = made.find_tenant_by_key(key_digest_of("two"));
  ASSERT_NE(tenant, nullptr);
  EXPECT_EQ(tenant->name, "kaje80");
  EXPECT_EQ(tenant->rank, 1);
  EXPECT_EQ(tenant->unit, CountingUnit::tokens);
  EXPECT_EQ(tenant->default_tokens, 200);
  EXPECT_EQ(tenant->rate, 926801);
  EXPECT_EQ(tenant->burst, 5);
  EXPECT_EQ(made.find_tenant_by_key(key_digest_of("three"))->name, "free");
  EXPECT_FALSE(made.find_tenant("free")->limited());
  EXPECT_EQ(made.find_tenant_by_key(key_digest_of("four")), nullptr);
  EXPECT_TRUE(made.find_route("h", "/open/x")->is_public);
  EXPECT_FALSE(made.find_route("H", "/x")->is_public);
  EXPECT_TRUE(with_tenants("[]").value()->keys_required) << "a list without tenants accepts no key";
}

TEST(Tenants, description_format_is_parsed) {
  std::string const head = "{\"format\":1,\"pools\":[],\"lanes\":[],\"tenants\":";
  Result<std::shared_ptr<Description const>> const read = read_description(
      head +
      "[{\"name\":\"t\",\"keys\":[\"one\"],\"rank\":2,\"counts\":\"tokens\",\"plain_tokens\":7,\"rate\":10,"
      "\"burst\":20}]}");
  ASSERT_TRUE(read) << read.error().what;
  Tenant const* const tenant = read.value()->find_tenant_by_key(key_digest_of("one"));
  ASSERT_NE(tenant, nullptr);
  EXPECT_EQ(tenant->rank, 2);
  EXPECT_EQ(tenant->unit, CountingUnit::tokens);
  EXPECT_EQ(tenant->default_tokens, 7);
  EXPECT_EQ(tenant->rate, 10);
  EXPECT_EQ(tenant->burst, 20);
  for (char const* const bad :
       {"7", "[{}]", "[{\"name\":\"t\"}]", "[{\"name\":\"t\",\"keys\":[\"\"]}]", "[{\"name\":\"a b\",\"keys\":[]}]",
        "[{\"name\":\"t\",\"keys\":[\"k\"],\"counts\":\"bytes\"}]", "[{\"name\":\"t\",\"keys\":[\"k\"],\"rate\":-1}]",
        "[{\"name\":\"t\",\"keys\":[\"k\"],\"rate\":1e15}]", "[{\"name\":\"t\",\"keys\":[\"k\"],\"colour\":1}]",
        "[{\"name\":\"t\",\"keys\":[\"k\"]},{\"name\":\"t\",\"keys\":[\"l\"]}]"})
    EXPECT_FALSE(read_description(head + bad + "}")) << bad;
  EXPECT_FALSE(read_description(
      "{\"format\":1,\"pools\":[{\"name\":\"p\",\"model\":\"m\"}],\"lanes\":[{\"name\":\"l\",\"binding\":"
      "\"match always; pool p\"}],\"tenants\":[]}"))
      << "lanes would accept requests without a key";
}

TEST(Tenants, invalid_tenants_are_rejected_and_errors_contain_no_key) {
  for (char const* const bad : {
           "7",
           "{}",
           "[7]",
           "[{\"name\":\"\",\"api_keys\":[\"secretkey\"]}]",
           "[{\"api_keys\":[\"secretkey\"]}]",
           "[{\"name\":\"a\\r\\nb\",\"api_keys\":[\"secretkey\"]}]",
           "[{\"name\":\"t\",\"api_keys\":\"secretkey\"}]",
           "[{\"name\":\"t\",\"api_keys\":[\"secretkey\",\"\"]}]",
           "[{\"name\":\"t\",\"api_keys\":[\"secretkey\",7]}]",
           "[{\"name\":\"t\",\"api_keys\":[\"secretkey\"]},{\"name\":\"t\",\"api_keys\":[\"secretkey2\"]}]",
           "[{\"name\":\"t\",\"api_keys\":[\"secretkey\"]},{\"name\":\"u\",\"api_keys\":[\"secretkey\"]}]",
           "[{\"name\":\"t\",\"api_keys\":[\"secretkey\"],\"requests_per_s\":-1}]",
           "[{\"name\":\"t\",\"api_keys\":[\"secretkey\"],\"requests_per_s\":1e300}]",
           "[{\"name\":\"t\",\"api_keys\":[\"secretkey\"],\"burst_size\":-5}]",
           "[{\"name\":\"t\",\"api_keys\":[\"secretkey\"],\"uncached_tokens\":-5}]",
           "[{\"name\":\"t\",\"api_keys\":[\"secretkey\"],\"priority\":-1}]",
       }) {
    Result<std::shared_ptr<Description const>> const read = with_tenants(bad);
    ASSERT_FALSE(read) << bad;
    EXPECT_EQ(error_response(read.error()).status, 400u);
    EXPECT_EQ((read.error().what + read.error().where).find("secretkey"), std::string::npos) << read.error().what;
  }
  // A duplicate key within one tenant is accepted; an unknown field is ignored.
  EXPECT_TRUE(with_tenants("[{\"name\":\"t\",\"api_keys\":[\"k\",\"k\"],\"colour\":\"red\"}]"));
}

TEST(Tenants, ten_thousand_keys_and_a_key_of_eight_kilobytes_are_parsed) {
  std::string keys = "\"" + std::string(8192, 'k') + "\"";
  for (int n = 0; n < 10000; ++n) keys += ",\"key-" + std::to_string(n) + "\"";
  Result<std::shared_ptr<Description const>> const read =
      with_tenants("[{\"name\":\"t\",\"api_keys\":[" + keys + "]}]");
  ASSERT_TRUE(read) << read.error().what;
  EXPECT_NE(read.value()->find_tenant_by_key(key_digest_of(std::string(8192, 'k'))), nullptr);
  EXPECT_NE(read.value()->find_tenant_by_key(key_digest_of("key-9999")), nullptr);
}

TEST(Tenants, tenant_priority_takes_precedence_over_route_priority) {
  std::shared_ptr<Description const> const made =
      with_tenants(
          "[{\"name\":\"a\",\"api_keys\":[\"1\"],\"priority\":1},{\"name\":\"b\",\"api_keys\":[\"2\"],"
          "\"priority\":4}]")
          .value();
  Route const& second = made->routes[0];
  Route const& first = made->routes[1];
  std::int64_t const ranks[] = {
      made->rank_of(first, made->find_tenant("a")), made->rank_of(second, made->find_tenant("a")),
      made->rank_of(first, made->find_tenant("b")), made->rank_of(second, made->find_tenant("b"))};
  EXPECT_TRUE(std::is_sorted(std::begin(ranks), std::end(ranks)));
  EXPECT_EQ(std::set<std::int64_t>(std::begin(ranks), std::end(ranks)).size(), 4u);
  EXPECT_EQ(made->rank_of(second, nullptr), 1) << "without a tenant the route's priority applies";
}

TEST(ConfigurationLease, duration_counts_from_the_confirmed_moment) {
  ConfigurationLease lease(seconds(4));
  EXPECT_FALSE(lease.valid(seconds(1))) << "not valid before the first confirmation";
  lease.confirm(seconds(10));
  EXPECT_TRUE(lease.valid(seconds(14)));
  EXPECT_FALSE(lease.valid(seconds(14) + 1));
  lease.confirm(seconds(9));
  EXPECT_TRUE(lease.valid(seconds(14))) << "an older confirmation doesn't shorten the lease";
  EXPECT_TRUE(ConfigurationLease().valid(seconds(99))) << "a lease that isn't required is always valid";
}

TEST(QuotaOwner, grants_stay_within_the_terms_in_any_window) {
  QuotaTerms const terms = strict_terms();
  for (Tenant const& tenant : {tenant_of(36000, 36000), tenant_of(926801, 926801), tenant_of(1000, 0)}) {
    QuotaOwner owner(terms);
    double const allowed =
        (static_cast<double>(tenant.rate) * 8 + static_cast<double>(tenant.burst)) * 1.1 + terms.slack;
    std::vector<std::pair<Micros, std::int64_t>> grants;
    // No requests for a minute, then far more than the limit.
    for (Micros now = seconds(60); now < seconds(90); now += millis(3)) {
      std::int64_t const count = 50 + (now / 1000) % 12000;
      if (owner.ask(tenant, count, 1, 0, now).granted) grants.emplace_back(now, count);
    }
    for (std::size_t from = 0; from < grants.size(); from += 7) {
      double sum = 0;
      for (std::size_t n = from; n < grants.size() && grants[n].first <= grants[from].first + terms.window; ++n)
        sum += static_cast<double>(grants[n].second);
      ASSERT_LE(sum, allowed) << tenant.rate;
    }
    double all = 0;
    for (std::pair<Micros, std::int64_t> const& grant : grants) all += static_cast<double>(grant.second);
    EXPECT_GT(all, static_cast<double>(tenant.rate) * 29) << "the owner grants what the rate allows";
  }
}

TEST(QuotaOwner, requests_below_the_limit_are_granted_and_refusals_state_the_wait) {
  QuotaOwner owner(strict_terms());
  Tenant const tenant = tenant_of(36000, 36000);
  for (Micros now = seconds(10); now < seconds(40); now += millis(400))
    ASSERT_TRUE(owner.ask(tenant, 13000, 1, 0, now).granted);
  while (owner.ask(tenant, 13000, 1, 0, seconds(40)).granted) {
  }
  QuotaDecision const refused = owner.ask(tenant, 13000, 1, 0, seconds(40));
  EXPECT_GT(refused.wait, 0);
  EXPECT_TRUE(owner.ask(tenant, 13000, 1, 0, seconds(40) + refused.wait + 1).granted);
}

TEST(QuotaOwner, buckets_start_empty) {
  QuotaOwner owner(strict_terms());
  Tenant const tenant = tenant_of(100000, 100000);
  EXPECT_FALSE(owner.ask(tenant, 1000, 1, seconds(50), seconds(50)).granted);
  EXPECT_TRUE(owner.ask(tenant, 1000, 1, seconds(50), seconds(51)).granted);
  // The node lost its share and got it back: the bucket is empty again.
  EXPECT_FALSE(owner.ask(tenant, 1000, 1, seconds(60), seconds(60)).granted);
}

TEST(QuotaOwner, retries_are_debited_and_unused_grants_returned) {
  QuotaOwner owner(strict_terms());
  Tenant const tenant = tenant_of(10000, 0);
  Micros const now = seconds(100);
  std::int64_t const depth = static_cast<std::int64_t>(QuotaBudget::of(tenant, strict_terms()).depth);
  ASSERT_TRUE(owner.ask(tenant, depth, 1, 0, now).granted);
  EXPECT_FALSE(owner.ask(tenant, 100, 1, 0, now).granted);
  owner.give_back(tenant, depth, 1, 0, now);
  EXPECT_TRUE(owner.ask(tenant, 100, 1, 0, now).granted);
  owner.debit(tenant, depth, 1, 0, now);
  EXPECT_FALSE(owner.ask(tenant, 100, 1, 0, now).granted);
  owner.give_back(tenant, depth * 10, 1, 0, now);
  EXPECT_FALSE(owner.ask(tenant, depth + 1, 1, 0, now).granted) << "no more is returned than was granted";
}

TEST(QuotaShares, sum_never_exceeds_one_during_replica_set_changes) {
  Micros const fence = seconds(5);
  std::vector<std::string> const names = {"a", "b", "c", "d", "e"};
  struct Step {
    Membership set;
    Micros chosen;
  };
  std::vector<Step> const steps = {{set_of(1, {"a", "b", "c"}), seconds(1)},
                                   {set_of(2, {"a", "b", "c", "d", "e"}, {"a", "b", "c"}), seconds(20)},
                                   {set_of(3, {"a", "b", "c", "d", "e"}), seconds(21)},
                                   {set_of(4, {"a", "b", "d", "e"}, {"a", "b", "c", "d", "e"}), seconds(40)},
                                   {set_of(5, {"a", "b", "d"}), seconds(42)}};
  std::map<std::string, QuotaShares> nodes;
  for (std::string const& name : names) nodes.emplace(name, QuotaShares(name, fence));
  for (Micros now = 0; now < seconds(60); now += millis(50)) {
    double sum = 0;
    for (std::size_t n = 0; n < names.size(); ++n) {
      QuotaShares& node = nodes.at(names[n]);
      // Each node learns of a set at a different time, "c" as late as its lease lets it act on the old one.
      Micros const late = names[n] == "c" ? fence : static_cast<Micros>(n) * millis(150);
      for (Step const& step : steps)
        if (now >= step.chosen + late && now < step.chosen + late + millis(50)) node.note(step.set, now);
      sum += node.share(now);
    }
    ASSERT_LE(sum, 1.0 + 1e-9) << now;
    if (now > seconds(15) && now < seconds(20)) {
      ASSERT_NEAR(sum, 1, 1e-9) << now;
    }
  }
  EXPECT_NEAR(nodes.at("a").share(seconds(60)), 1.0 / 3, 1e-9);
  EXPECT_EQ(nodes.at("e").share(seconds(60)), 0);
}

// After a stop of all replicas there is no wait: a node whose set is the one it had settled on before knows that no
// node acts on an older one.
TEST(QuotaShares, share_is_restored_immediately_after_a_restart_with_the_same_set) {
  QuotaShares former("a", seconds(5));
  Membership const set = set_of(4, {"a", "b"});
  former.note(set, seconds(1));
  EXPECT_EQ(former.settled(seconds(2)), 0u);
  std::uint64_t const settled = former.settled(seconds(7));
  EXPECT_EQ(settled, set.fingerprint());
  QuotaShares again("a", seconds(5), settled);
  again.note(set, seconds(10));
  EXPECT_EQ(again.share(seconds(10)), 0.5);
  QuotaShares other("a", seconds(5), settled);
  other.note(set_of(5, {"a", "b"}), seconds(10));
  EXPECT_EQ(other.share(seconds(10)), 0) << "another set with the same names";
}

TEST(QuotaShares, without_the_handover_guard_shares_are_granted_twice) {
  disabled_guard() = Guard::quota_handover;
  QuotaShares old_one("a", seconds(5));
  QuotaShares fresh("b", seconds(5));
  old_one.note(set_of(1, {"a"}), 0);
  fresh.note(set_of(2, {"b"}), seconds(10));
  // "a" is cut off and hasn't learned of the second set.
  EXPECT_GT(old_one.share(seconds(10) + 1) + fresh.share(seconds(10) + 1), 1);
  disabled_guard() = Guard::none;
}

namespace {
// A quota client with three owners; the test answers its messages.
class QuotaClientTest : public testing::Test {
 protected:
  QuotaClientTest() : client("n1", 100) {
    peers.owners = {"a", "b", "c"};
    peers.owner_count = 3;
  }
  void begin(std::int64_t count, std::int64_t max_chunk) {
    client.begin(QuotaRequest{7, "t", count, now + millis(400)}, max_chunk, peers, now, sent);
  }
  // Answers the pending request.
  void answer(bool granted, Micros wait = 0) {
    ASSERT_FALSE(sent.empty());
    wire::QuotaRequestT const ask = *sent.back().body.AsQuotaRequest();
    std::string const from = sent.back().to;
    targets.push_back(from);
    wire::QuotaReplyT reply;
    reply.request_id = ask.request_id;
    reply.tenant = ask.tenant;
    reply.count = ask.count;
    reply.granted = granted;
    reply.wait = wait;
    client.take(from, reply, peers, now, sent);
  }
  std::size_t given_back() const {
    return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [](OutgoingMessage const& item) {
      return item.body.AsQuotaRequest()->purpose == static_cast<std::uint8_t>(QuotaPurpose::give_back);
    }));
  }

  QuotaClient client;
  QuotaPeers peers;
  std::vector<OutgoingMessage> sent;
  std::vector<std::string> targets;
  Micros now = seconds(1);
};
}  // namespace

TEST_F(QuotaClientTest, one_owner_grants_the_request) {
  begin(100, 1000);
  answer(true);
  ASSERT_EQ(client.results.size(), 1u);
  EXPECT_EQ(client.results[0].type, QuotaResult::Type::granted);
  EXPECT_EQ(client.results[0].request, 7u);
  EXPECT_EQ(client.waiting(), 0u);
}

TEST_F(QuotaClientTest, request_is_refused_only_after_all_owners_refused) {
  begin(100, 1000);
  for (int n = 0; n < 3; ++n) answer(false, millis(300 + n));
  ASSERT_EQ(client.results.size(), 1u);
  EXPECT_EQ(client.results[0].type, QuotaResult::Type::refused);
  EXPECT_EQ(client.results[0].wait, millis(300));
  EXPECT_EQ(std::set<std::string>(targets.begin(), targets.end()).size(), 3u);
  // The next request is refused immediately, without a message, until an owner may have that much again.
  std::size_t const messages = sent.size();
  begin(100, 1000);
  EXPECT_EQ(sent.size(), messages);
  EXPECT_EQ(client.results.back().type, QuotaResult::Type::refused);
  begin(50, 1000);
  EXPECT_EQ(sent.size(), messages + 1) << "an owner may still have a smaller amount";
}

TEST_F(QuotaClientTest, large_amounts_are_requested_in_chunks) {
  begin(250, 100);
  for (int n = 0; n < 3; ++n) answer(true);
  ASSERT_EQ(client.results.size(), 1u);
  EXPECT_EQ(client.results[0].type, QuotaResult::Type::granted);
  EXPECT_EQ(given_back(), 0u);
}

TEST_F(QuotaClientTest, chunks_are_returned_if_the_rest_is_refused) {
  begin(250, 100);
  answer(true);
  for (int n = 0; n < 3 && client.results.empty(); ++n) answer(false, millis(500));
  ASSERT_EQ(client.results.size(), 1u);
  EXPECT_EQ(client.results[0].type, QuotaResult::Type::refused);
  EXPECT_EQ(given_back(), 1u);
}

TEST_F(QuotaClientTest, silent_owner_is_skipped_and_its_late_grant_returned) {
  begin(100, 1000);
  OutgoingMessage const first = sent.back();
  now += millis(150);
  client.tick(peers, now, sent);
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_NE(sent.back().to, first.to);
  wire::QuotaReplyT late;
  late.request_id = first.body.AsQuotaRequest()->request_id;
  late.tenant = "t";
  late.count = 100;
  late.granted = true;
  client.take(first.to, late, peers, now, sent);
  EXPECT_EQ(given_back(), 1u);
  EXPECT_TRUE(client.results.empty());
}

TEST_F(QuotaClientTest, peer_is_asked_if_no_owner_is_reachable_and_without_peers_the_result_is_unreachable) {
  peers.owners.clear();
  peers.others = {"x"};
  begin(100, 1000);
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].to, "x");
  EXPECT_EQ(sent[0].body.AsQuotaRequest()->origin, "n1");
  EXPECT_EQ(sent[0].body.AsQuotaRequest()->hops, 1);
  answer(true);
  EXPECT_EQ(client.results.back().type, QuotaResult::Type::granted);
  peers.others.clear();
  begin(100, 1000);
  EXPECT_EQ(client.results.back().type, QuotaResult::Type::unreachable);
}

}  // namespace pipit
