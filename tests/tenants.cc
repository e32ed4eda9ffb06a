// Keys and limits of tenants: how a configuration names them, the lease that keys need, and how limits are handed out
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

TEST(Tenants, are_read_from_a_configuration) {
  Result<std::shared_ptr<Description const>> const read = with_tenants(
      "[{\"name\":\"kaje80\",\"api_keys\":[\"one\",\"two\"],\"priority\":1,\"counting_unit\":\"by_tokens\","
      "\"uncached_tokens\":200,\"requests_per_s\":926801,\"burst_size\":5},{\"name\":\"free\",\"api_keys\":[\"three\"]}"
      "]");
  ASSERT_TRUE(read) << read.error().what;
  Description const& made = *read.value();
  EXPECT_TRUE(made.keys_required);
  Tenant const* const tenant = made.tenant_of(key_digest_of("two"));
  ASSERT_NE(tenant, nullptr);
  EXPECT_EQ(tenant->name, "kaje80");
  EXPECT_EQ(tenant->rank, 1);
  EXPECT_EQ(tenant->unit, CountingUnit::tokens);
  EXPECT_EQ(tenant->plain_tokens, 200);
  EXPECT_EQ(tenant->rate, 926801);
  EXPECT_EQ(tenant->burst, 5);
  EXPECT_EQ(made.tenant_of(key_digest_of("three"))->name, "free");
  EXPECT_FALSE(made.tenant("free")->limited());
  EXPECT_EQ(made.tenant_of(key_digest_of("four")), nullptr);
  EXPECT_TRUE(made.route("h", "/open/x")->is_public);
  EXPECT_FALSE(made.route("H", "/x")->is_public);
  EXPECT_TRUE(with_tenants("[]").value()->keys_required) << "a list without tenants lets nobody in";
}

TEST(Tenants, are_read_in_the_products_own_language) {
  std::string const head = "{\"format\":1,\"pools\":[],\"lanes\":[],\"tenants\":";
  Result<std::shared_ptr<Description const>> const read = read_description(
      head +
      "[{\"name\":\"t\",\"keys\":[\"one\"],\"rank\":2,\"counts\":\"tokens\",\"plain_tokens\":7,\"rate\":10,"
      "\"burst\":20}]}");
  ASSERT_TRUE(read) << read.error().what;
  Tenant const* const tenant = read.value()->tenant_of(key_digest_of("one"));
  ASSERT_NE(tenant, nullptr);
  EXPECT_EQ(tenant->rank, 2);
  EXPECT_EQ(tenant->unit, CountingUnit::tokens);
  EXPECT_EQ(tenant->plain_tokens, 7);
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
      << "lanes would let everybody in";
}

TEST(Tenants, bad_ones_are_refused_and_no_fault_names_a_key) {
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
    EXPECT_EQ(answer_for(read.error()).status, 400u);
    EXPECT_EQ((read.error().what + read.error().where).find("secretkey"), std::string::npos) << read.error().what;
  }
  // The same key twice in one tenant's own list harms nobody; a field that is not known is left alone.
  EXPECT_TRUE(with_tenants("[{\"name\":\"t\",\"api_keys\":[\"k\",\"k\"],\"colour\":\"red\"}]"));
}

TEST(Tenants, ten_thousand_keys_and_a_key_of_eight_kilobytes_are_read) {
  std::string keys = "\"" + std::string(8192, 'k') + "\"";
  for (int n = 0; n < 10000; ++n) keys += ",\"key-" + std::to_string(n) + "\"";
  Result<std::shared_ptr<Description const>> const read =
      with_tenants("[{\"name\":\"t\",\"api_keys\":[" + keys + "]}]");
  ASSERT_TRUE(read) << read.error().what;
  EXPECT_NE(read.value()->tenant_of(key_digest_of(std::string(8192, 'k'))), nullptr);
  EXPECT_NE(read.value()->tenant_of(key_digest_of("key-9999")), nullptr);
}

TEST(Tenants, ranks_go_before_those_of_routes) {
  std::shared_ptr<Description const> const made =
      with_tenants(
          "[{\"name\":\"a\",\"api_keys\":[\"1\"],\"priority\":1},{\"name\":\"b\",\"api_keys\":[\"2\"],"
          "\"priority\":4}]")
          .value();
  Route const& second = made->routes[0];
  Route const& first = made->routes[1];
  std::int64_t const ranks[] = {made->rank_of(first, made->tenant("a")), made->rank_of(second, made->tenant("a")),
                                made->rank_of(first, made->tenant("b")), made->rank_of(second, made->tenant("b"))};
  EXPECT_TRUE(std::is_sorted(std::begin(ranks), std::end(ranks)));
  EXPECT_EQ(std::set<std::int64_t>(std::begin(ranks), std::end(ranks)).size(), 4u);
  EXPECT_EQ(made->rank_of(second, nullptr), 1) << "without a tenant the route's own";
}

TEST(ConfigurationLease, runs_from_the_moment_of_the_question) {
  ConfigurationLease lease(seconds(4));
  EXPECT_FALSE(lease.valid(seconds(1))) << "none before the first confirmation";
  lease.confirm(seconds(10));
  EXPECT_TRUE(lease.valid(seconds(14)));
  EXPECT_FALSE(lease.valid(seconds(14) + 1));
  lease.confirm(seconds(9));
  EXPECT_TRUE(lease.valid(seconds(14))) << "an older confirmation takes nothing away";
  EXPECT_TRUE(ConfigurationLease().valid(seconds(99))) << "where none is needed it always holds";
}

TEST(QuotaOwner, grants_no_more_than_the_terms_allow_in_any_window) {
  QuotaTerms const terms = strict_terms();
  for (Tenant const& tenant : {tenant_of(36000, 36000), tenant_of(926801, 926801), tenant_of(1000, 0)}) {
    QuotaOwner owner(terms);
    double const allowed =
        (static_cast<double>(tenant.rate) * 8 + static_cast<double>(tenant.burst)) * 1.1 + terms.slack;
    std::vector<std::pair<Micros, std::int64_t>> grants;
    // Quiet for long, then far beyond the limit.
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
    EXPECT_GT(all, static_cast<double>(tenant.rate) * 29) << "and what is due is granted";
  }
}

TEST(QuotaOwner, refuses_nothing_below_the_limit_and_says_when_to_come_back) {
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

TEST(QuotaOwner, that_begins_has_granted_nothing_and_has_nothing_to_grant) {
  QuotaOwner owner(strict_terms());
  Tenant const tenant = tenant_of(100000, 100000);
  EXPECT_FALSE(owner.ask(tenant, 1000, 1, seconds(50), seconds(50)).granted);
  EXPECT_TRUE(owner.ask(tenant, 1000, 1, seconds(50), seconds(51)).granted);
  // Its part was lost and came back: what had gathered is gone.
  EXPECT_FALSE(owner.ask(tenant, 1000, 1, seconds(60), seconds(60)).granted);
}

TEST(QuotaOwner, counts_what_is_sent_again_and_takes_back_what_was_not_used) {
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
  EXPECT_FALSE(owner.ask(tenant, depth + 1, 1, 0, now).granted) << "no more comes back than was granted";
}

TEST(QuotaShares, sum_up_to_one_at_most_while_sets_follow_one_another) {
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
      // Each hears of a set at another time, "c" as late as its lease lets it go by the old one.
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

// A full stop of all replicas costs no wait: who goes by the set that it went by before knows that nobody goes by an
// older one.
TEST(QuotaShares, are_back_at_once_after_a_restart_with_the_same_set) {
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
  EXPECT_EQ(other.share(seconds(10)), 0) << "another set, though the same names";
}

TEST(QuotaShares, without_their_fence_would_be_handed_out_twice) {
  guard_off() = Guard::quota_handover;
  QuotaShares old_one("a", seconds(5));
  QuotaShares fresh("b", seconds(5));
  old_one.note(set_of(1, {"a"}), 0);
  fresh.note(set_of(2, {"b"}), seconds(10));
  // "a" is cut off and has not heard of the second set.
  EXPECT_GT(old_one.share(seconds(10) + 1) + fresh.share(seconds(10) + 1), 1);
  guard_off() = Guard::none;
}

namespace {
// A client of three owners, whose messages the test carries.
class Asking : public testing::Test {
 protected:
  Asking() : client("n1", 100) {
    peers.owners = {"a", "b", "c"};
    peers.owner_count = 3;
  }
  void begin(std::int64_t count, std::int64_t piece) {
    client.begin(QuotaRequest{7, "t", count, now + millis(400)}, piece, peers, now, sent);
  }
  // Answers the one question that is under way.
  void answer(bool granted, Micros wait = 0) {
    ASSERT_FALSE(sent.empty());
    wire::QuotaRequestT const ask = *sent.back().body.AsQuotaRequest();
    std::string const from = sent.back().to;
    asked.push_back(from);
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
  std::vector<std::string> asked;
  Micros now = seconds(1);
};
}  // namespace

TEST_F(Asking, one_owner_grants) {
  begin(100, 1000);
  answer(true);
  ASSERT_EQ(client.results.size(), 1u);
  EXPECT_EQ(client.results[0].type, QuotaResult::Type::granted);
  EXPECT_EQ(client.results[0].request, 7u);
  EXPECT_EQ(client.waiting(), 0u);
}

TEST_F(Asking, all_owners_are_asked_before_it_is_refused) {
  begin(100, 1000);
  for (int n = 0; n < 3; ++n) answer(false, millis(300 + n));
  ASSERT_EQ(client.results.size(), 1u);
  EXPECT_EQ(client.results[0].type, QuotaResult::Type::refused);
  EXPECT_EQ(client.results[0].wait, millis(300));
  EXPECT_EQ(std::set<std::string>(asked.begin(), asked.end()).size(), 3u);
  // The next one is refused at once, with no message, until an owner may have as much again.
  std::size_t const messages = sent.size();
  begin(100, 1000);
  EXPECT_EQ(sent.size(), messages);
  EXPECT_EQ(client.results.back().type, QuotaResult::Type::refused);
  begin(50, 1000);
  EXPECT_EQ(sent.size(), messages + 1) << "a smaller one may still fit";
}

TEST_F(Asking, what_is_more_than_one_owner_may_have_is_asked_for_in_pieces) {
  begin(250, 100);
  for (int n = 0; n < 3; ++n) answer(true);
  ASSERT_EQ(client.results.size(), 1u);
  EXPECT_EQ(client.results[0].type, QuotaResult::Type::granted);
  EXPECT_EQ(given_back(), 0u);
}

TEST_F(Asking, pieces_go_back_where_the_whole_was_not_granted) {
  begin(250, 100);
  answer(true);
  for (int n = 0; n < 3 && client.results.empty(); ++n) answer(false, millis(500));
  ASSERT_EQ(client.results.size(), 1u);
  EXPECT_EQ(client.results[0].type, QuotaResult::Type::refused);
  EXPECT_EQ(given_back(), 1u);
}

TEST_F(Asking, an_owner_that_is_silent_is_passed_over_and_its_late_grant_goes_back) {
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

TEST_F(Asking, with_no_owner_in_reach_a_peer_is_asked_and_without_one_nobody_says_refused) {
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
