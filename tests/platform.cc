// The users' platform: its settings file, its configuration as a description, and the numbers it gives to versions.
#include <gtest/gtest.h>

#include <simdjson.h>

#include <fstream>
#include <map>
#include <sstream>

#include "config/description/description.h"
#include "consensus/register/orders.h"
#include "consensus/register/proposer.h"
#include "platform/amend.h"
#include "platform/description.h"
#include "platform/settings.h"
#include "platform/names.h"

namespace pipit::platform {

namespace {
using Fields = std::map<std::string, std::string>;

Fields good_fields() {
  return {{"node_name", "n1"},
          {"ip_address", "127.0.0.1"},
          {"zone", "a"},
          {"internal_port_range", "7100,7110"},
          {"listen_addresses.front", "127.0.0.1:7001"},
          {"listen_addresses.readiness", "127.0.0.1:7002"},
          {"listen_addresses.control", "127.0.0.1:7003"},
          {"seed_addresses", "127.0.0.2:7003,127.0.0.3:7003"}};
}

Result<NodeServerOptions> plan_from(Fields const& fields) {
  std::string text;
  for (std::pair<std::string const, std::string> const& item : fields) text += item.first + "=" + item.second + "\n";
  Result<SettingsFile> const file = SettingsFile::parse(text);
  if (!file) return file.as_failure();
  return plan_of(file.value());
}

char const base[] =
    "{\"version\": 4, \"routes\": [\n"
    "  {\"name\": \"chat\", \"host\": \"api.test\", \"path_prefix\": \"/v1/chat\", \"route_kind\": \"streaming\",\n"
    "   \"service\": \"big_llm\", \"timeout_ms\": 260000.0, \"resume_streams\": true, \"target_latency_ms\": 900,\n"
    "   \"target_gap_ms\": 200, \"priority\": 2, \"max_attempts\": 3, \"note\": {\"by\": [1, 2.50]}},\n"
    "  {\"name\": \"embed\", \"host\": \"api.test\", \"path_prefix\": \"/v1/embed/\", \"route_kind\": \"idempotent\",\n"
    "   \"weighted_services\": [{\"service\": \"big_llm\", \"weight\": 3}, {\"service\": \"small\", \"weight\": 1}],\n"
    "   \"timeout_ms\": 5000},\n"
    "  {\"name\": \"once\", \"host\": \"api.test\", \"path_prefix\": \"/\", \"route_kind\": \"unique\",\n"
    "   \"service\": \"small\", \"timeout_ms\": 1000}],\n"
    " \"services\": [\n"
    "  {\"name\": \"big_llm\", \"connection_limit\": 200,\n"
    "   \"engine\": {\"slots\": 12, \"cache_tokens\": 260000.0, \"stride\": 4, \"models\": [{\"name\": \"m\"}]}},\n"
    "  {\"name\": \"small\"}],\n"
    " \"limits\": {\"max_header_bytes\": 8192, \"max_body_bytes\": 1000000, \"header_timeout_ms\": 3000,\n"
    "  \"idle_timeout_ms\": 20000},\n"
    " \"labels\": [\"one\", \"two\"], \"owner\": \"ops\"}";

std::shared_ptr<Description const> compiled_description(Configuration const& made) {
  Result<std::shared_ptr<Description const>> const read = read_configuration(made.text);
  return read ? read.value() : nullptr;
}

// The base with one text in the place of another.
std::string with(std::string const& old, std::string const& fresh) {
  std::string out = base;
  std::size_t const at = out.find(old);
  EXPECT_NE(at, std::string::npos) << old;
  return at == std::string::npos ? out : out.replace(at, old.size(), fresh);
}
}  // namespace

TEST(Settings, a_good_file_gives_a_plan) {
  Fields fields = good_fields();
  fields["a_field_of_a_later_day"] = "anything = at all";
  fields["bounds.retry_budget_ratio"] = "0.4";
  fields["bounds.extra_retries"] = "10";
  fields["bounds.grace_s"] = "2.5";
  fields["beat_interval_ms"] = "700";
  Result<NodeServerOptions> const plan = plan_from(fields);
  ASSERT_TRUE(plan) << plan.error().what;
  EXPECT_EQ(plan.value().node.name, "n1");
  EXPECT_EQ(plan.value().node.address, "127.0.0.1:7100");
  EXPECT_EQ(plan.value().front_address, "127.0.0.1:7001");
  EXPECT_EQ(plan.value().control_address, "127.0.0.1:7003");
  EXPECT_EQ(plan.value().node.seeds, (std::vector<std::string>{"127.0.0.2:7100", "127.0.0.3:7100"}));
  EXPECT_EQ(plan.value().shutdown_grace, millis(2500));
  EXPECT_EQ(plan.value().node.heartbeat_interval, millis(700));
  EXPECT_LE(plan.value().node.retry_budget_ratio, 0.4);
  EXPECT_LE(plan.value().node.retry_budget_limit, 10);
  EXPECT_FALSE(plan.value().node.is_replica);
  fields["data_directory"] = "/anywhere";
  EXPECT_TRUE(plan_from(fields).value().node.is_replica);
}

TEST(Settings, keys_and_limits_have_the_deployments_bounds) {
  Fields fields = good_fields();
  fields["bounds.revocation_ms"] = "5000";
  EXPECT_EQ(plan_from(fields).value().node.revocation_bound, 0) << "only where it binds machines that are cut off";
  fields["bounds.revocation_closed"] = "true";
  fields["bounds.quota_window_s"] = "8";
  fields["bounds.quota_overshoot"] = "0.1";
  fields["bounds.quota_slack"] = "140000";
  NodePlan const node = plan_from(fields).value().node;
  EXPECT_GT(node.revocation_bound, seconds(4));
  EXPECT_LT(node.revocation_bound, seconds(5));
  EXPECT_EQ(node.quota_terms.window, seconds(8));
  EXPECT_EQ(node.quota_terms.overshoot, 0.1);
  EXPECT_EQ(node.quota_terms.slack, 140000);
}

// The platform reads the port in the deploy file, the process listens at the one in its words.
TEST(Settings, metrics_are_where_the_deploy_file_says) {
  std::ifstream file(std::string(SOURCE) + "/deploy/system.toml");
  std::stringstream deploy;
  deploy << file.rdbuf();
  std::string const line = "metrics = \"" + std::to_string(metrics_port) + "/metrics\"";
  EXPECT_NE(deploy.str().find(line), std::string::npos) << line;
  Result<NodeServerOptions> const plan = plan_from(good_fields());
  ASSERT_TRUE(plan);
  EXPECT_EQ(plan.value().metrics_address, "127.0.0.1:" + std::to_string(metrics_port));
}

TEST(Settings, comments_empty_lines_and_line_ends_of_either_kind_are_taken) {
  Result<SettingsFile> const file = SettingsFile::parse("# a comment\r\n\r\nzone=a b \r\nlist=x,,y\nempty=\nsum=1=2");
  ASSERT_TRUE(file);
  EXPECT_EQ(file.value().get("zone"), "a b");
  EXPECT_EQ(file.value().list("list"), (std::vector<std::string>{"x", "y"}));
  EXPECT_EQ(file.value().get("empty"), "");
  EXPECT_EQ(file.value().get("sum"), "1=2");
  EXPECT_EQ(file.value().get("none"), "");
  for (char const* const bad : {"zone=a\nwords", "=x"}) {
    Result<SettingsFile> const odd = SettingsFile::parse(bad);
    ASSERT_FALSE(odd) << bad;
    EXPECT_NE(odd.error().what.find("line "), std::string::npos) << odd.error().what;
  }
}

TEST(Settings, what_is_missing_is_named) {
  for (char const* const key : {"node_name", "ip_address", "zone", "internal_port_range"}) {
    Fields fields = good_fields();
    fields.erase(key);
    Result<NodeServerOptions> const plan = plan_from(fields);
    ASSERT_FALSE(plan) << key;
    EXPECT_NE(plan.error().what.find(key), std::string::npos) << plan.error().what;
    EXPECT_EQ(plan.error().what.find('\n'), std::string::npos);
  }
}

TEST(Settings, what_is_wrong_is_named) {
  struct Row {
    char const* key;
    char const* value;
  };
  Row const rows[] = {
      {"ip_address", "localhost"},
      {"ip_address", "127.0.0.256"},
      {"internal_port_range", "0"},
      {"internal_port_range", "70000"},
      {"internal_port_range", "many"},
      {"listen_addresses.front", "127.0.0.1"},
      {"listen_addresses.readiness", "host:7002"},
      {"listen_addresses.control", "127.0.0.1:0"},
      {"seed_addresses", "127.0.0.2:7003,nobody:1"},
      {"beat_interval_ms", "soon"},
      {"beat_interval_ms", "0"},
      {"beat_interval_ms", "-5"},
      {"beat_interval_ms", "1e300"},
      {"bounds.retry_budget_ratio", "a fifth"},
      {"bounds.retry_budget_ratio", "-1"},
      {"bounds.extra_retries", "nan"},
      {"bounds.extra_retries", "30x"},
      {"bounds.grace_s", "8s"},
      {"bounds.grace_s", "-1"},
      {"bounds.grace_s", "inf"},
      {"bounds.revocation_ms", "0"},
      {"bounds.revocation_closed", "perhaps"},
      {"bounds.quota_window_s", "none"},
      {"bounds.quota_overshoot", "-0.1"},
      {"bounds.quota_slack", "much"},
  };
  for (Row const& row : rows) {
    Fields fields = good_fields();
    fields[row.key] = row.value;
    Result<NodeServerOptions> const plan = plan_from(fields);
    ASSERT_FALSE(plan) << row.key << "=" << row.value;
    std::string const group =
        std::string(row.key).substr(0, std::string(row.key).rfind("listen_addresses.") == 0 ? 16 : 64);
    EXPECT_NE(plan.error().what.find(group), std::string::npos) << row.key << ": " << plan.error().what;
    EXPECT_EQ(plan.error().code, ErrorCode::bad_settings);
  }
}

TEST(Configurations, a_whole_one_becomes_a_description) {
  Result<Configuration> const made = read_complete_configuration(base);
  ASSERT_TRUE(made) << made.error().where << " " << made.error().what;
  EXPECT_EQ(made.value().version, 4u);
  EXPECT_EQ(source_of(made.value().text), base) << "what was sent is kept word for word";
  std::shared_ptr<Description const> const description = compiled_description(made.value());
  ASSERT_TRUE(description);
  ASSERT_EQ(description->routes.size(), 3u);
  Route const& chat = description->routes[0];
  EXPECT_EQ(chat.prefix, "/v1/chat/");
  EXPECT_TRUE(chat.streams && chat.resumable && !chat.repeatable);
  EXPECT_EQ(chat.request_timeout, seconds(260));
  EXPECT_EQ(chat.latency_target, millis(900));
  EXPECT_EQ(chat.gap, millis(200));
  EXPECT_EQ(chat.rank, 2);
  EXPECT_EQ(chat.attempts, 3);
  Route const& embed = description->routes[1];
  EXPECT_TRUE(embed.repeatable && !embed.streams);
  ASSERT_EQ(embed.shares.size(), 2u);
  EXPECT_EQ(embed.shares[0].pool, pool_of("big_llm"));
  EXPECT_EQ(embed.shares[0].weight, 3);
  EXPECT_FALSE(description->routes[2].repeatable);
  EXPECT_EQ(description->routes[2].attempts, 1);
  Pool const* const pool = description->pool(pool_of("big_llm"));
  ASSERT_NE(pool, nullptr);
  EXPECT_EQ(pool->slots, 12);
  EXPECT_EQ(pool->cache_tokens, 260000);
  EXPECT_EQ(pool->stride, 4);
  EXPECT_EQ(pool->connections, 200);
  EXPECT_EQ(pool->model, "m");
  EXPECT_EQ(description->limits.head_bytes, 8192);
  EXPECT_EQ(description->limits.body_bytes, 1000000);
  EXPECT_EQ(description->limits.head_time, seconds(3));
  EXPECT_EQ(description->limits.idle, seconds(20));
}

// The register may hold what an older version wrote: a description in the product's own language with its source.
TEST(Configurations, a_text_of_an_older_version_is_read) {
  std::string const sent = "{\"version\":3,\"routes\":[],\"services\":[]}";
  std::string const old =
      "{\"format\":1,\"pools\":[{\"name\":\"s-a\",\"model\":\"m\"}],\"lanes\":[],\"routes\":[{\"name\":\"r\","
      "\"host\":\"h\",\"prefix\":\"/\",\"shares\":[{\"pool\":\"s-a\"}]}],"
      "\"source\":\"{\\\"version\\\":3,\\\"routes\\\":[],\\\"services\\\":[]}\"}";
  Result<std::shared_ptr<Description const>> const read = read_configuration(old);
  ASSERT_TRUE(read) << read.error().what;
  EXPECT_NE(read.value()->route("h", "/x"), nullptr);
  EXPECT_EQ(source_of(old), sent);
}

TEST(Configurations, each_invalid_kind_is_refused) {
  std::string const rows[] = {
      "",
      "nonsense",
      "[]",
      "7",
      "{\"version\":1}",
      with("\"version\": 4,", ""),
      with("\"version\": 4", "\"version\": 0"),
      with("\"version\": 4", "\"version\": -4"),
      with("\"version\": 4", "\"version\": \"4\""),
      with("\"routes\"", "\"roots\""),
      with("\"services\": [\n", "\"servants\": [\n"),
      with("\"path_prefix\": \"/v1/chat\"", "\"path_prefix\": \"v1\""),
      with("\"path_prefix\": \"/v1/chat\"", "\"path_prefix\": \"\""),
      with("\"path_prefix\": \"/v1/chat\"", "\"path_prefix\": \"/v1/embed\""),
      with("\"host\": \"api.test\", ", ""),
      with("\"name\": \"chat\"", "\"name\": \"embed\""),
      with("\"name\": \"chat\", ", ""),
      with("\"service\": \"big_llm\", \"timeout_ms\"", "\"service\": \"nobody\", \"timeout_ms\""),
      with("\"service\": \"big_llm\", \"timeout_ms\"", "\"timeout_ms\""),
      with("\"timeout_ms\": 260000.0", "\"timeout_ms\": 0"),
      with("\"timeout_ms\": 260000.0", "\"timeout_ms\": -1"),
      with("\"timeout_ms\": 260000.0", "\"timeout_ms\": 1e300"),
      with("\"timeout_ms\": 260000.0, ", ""),
      with("\"weight\": 3}, {\"service\": \"small\", \"weight\": 1}",
           "\"weight\": 0}, {\"service\": \"small\", \"weight\": 0}"),
      with("\"weight\": 3", "\"weight\": -3"),
      with("[{\"service\": \"big_llm\", \"weight\": 3}, {\"service\": \"small\", \"weight\": 1}]", "[]"),
      with("{\"name\": \"small\"}", "{\"name\": \"big_llm\"}"),
      with("{\"name\": \"small\"}", "{}"),
      with("\"max_body_bytes\": 1000000", "\"max_body_bytes\": -1"),
      with("\"max_body_bytes\": 1000000", "\"max_body_bytes\": -1e300"),
  };
  for (std::string const& row : rows) {
    Result<Configuration> const made = read_complete_configuration(row);
    ASSERT_FALSE(made) << row;
    EXPECT_EQ(answer_for(made.error()).status, 400u) << made.error().what << "\n" << row;
    EXPECT_FALSE(made.error().what.empty());
  }
}

TEST(Configurations, names_of_services_stay_apart) {
  char const* const names[] = {"a", "a_", "a-", "a.b", "a_b", "a_2eb", "A", "a b", "1", "\xc3\xa9", ""};
  std::set<std::string> seen;
  for (char const* const name : names) EXPECT_TRUE(seen.insert(pool_of(name)).second) << name;
}

TEST(Configurations, amending_adds_replaces_and_removes_and_keeps_the_rest_as_written) {
  Result<Configuration> const made =
      apply_changes(base,
                    "{\"version\": 5, \"upsert\": {\"routes\": [\n"
                    "{\"name\":\"once\",\"host\":\"api.test\",\"path_prefix\":\"/\",\"service\":\"tiny\","
                    "\"timeout_ms\":2000.50}],"
                    "\"services\": [{\"name\": \"tiny\"}], \"limits\": {\"max_header_bytes\": 4096}},"
                    "\"remove\": {\"routes\": [\"embed\"], \"services\": [\"small\", \"nobody\"]}}");
  ASSERT_TRUE(made) << made.error().where << " " << made.error().what;
  EXPECT_EQ(made.value().version, 5u);
  std::string const source = source_of(made.value().text);
  for (char const* const kept : {"\"timeout_ms\": 260000.0,", "\"cache_tokens\": 260000.0,",
                                 "\"note\": {\"by\": [1, 2.50]}", "2000.50", "[\"one\", \"two\"]", "\"ops\""})
    EXPECT_NE(source.find(kept), std::string::npos) << kept << "\n" << source;
  std::shared_ptr<Description const> const description = compiled_description(made.value());
  ASSERT_TRUE(description);
  ASSERT_EQ(description->routes.size(), 2u);
  EXPECT_EQ(description->routes[0].name, "chat");
  EXPECT_EQ(description->routes[1].name, "once");
  EXPECT_EQ(description->routes[1].request_timeout, millis(2000));
  EXPECT_EQ(description->routes[1].shares[0].pool, pool_of("tiny"));
  EXPECT_EQ(description->pool(pool_of("small")), nullptr);
  EXPECT_EQ(description->limits.head_bytes, 4096);
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  std::uint64_t version = 0;
  ASSERT_FALSE(parser.parse(simdjson::padded_string(source)).get(root));
  ASSERT_FALSE(root["version"].get_uint64().get(version));
  EXPECT_EQ(version, 5u);
}

TEST(Configurations, amending_with_nothing_changes_the_version_alone) {
  Result<Configuration> const made = apply_changes(base, "{\"version\": 9}");
  ASSERT_TRUE(made) << made.error().where << " " << made.error().what;
  Result<Configuration> const again = apply_changes(source_of(made.value().text), "{\"version\": 9}");
  ASSERT_TRUE(again);
  EXPECT_EQ(source_of(again.value().text), source_of(made.value().text));
  EXPECT_EQ(compiled_description(made.value())->routes.size(), 3u);
}

TEST(Configurations, amending_nothing_at_all_begins_one) {
  std::string const none = source_of("");
  Result<Configuration> const made = apply_changes(
      none,
      "{\"version\":1,\"upsert\":{\"services\":[{\"name\":\"s\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
      "\"path_prefix\":\"/\",\"service\":\"s\",\"timeout_ms\":10}]}}");
  ASSERT_TRUE(made) << made.error().where << " " << made.error().what;
  EXPECT_EQ(compiled_description(made.value())->routes.size(), 1u);
}

TEST(Configurations, bad_changes_are_refused) {
  for (char const* const bad :
       {"", "[]", "{}", "{\"version\":\"5\"}", "{\"version\":0}", "{\"version\":5,\"upsert\":[]}",
        "{\"version\":5,\"remove\":7}", "{\"version\":5,\"remove\":{\"routes\":\"chat\"}}",
        "{\"version\":5,\"remove\":{\"routes\":[1]}}", "{\"version\":5,\"upsert\":{\"routes\":[1]}}",
        "{\"version\":5,\"upsert\":{\"routes\":[{\"host\":\"x\"}]}}",
        "{\"version\":5,\"remove\":{\"services\":[\"small\"]}}",
        "{\"version\":5,\"upsert\":{\"limits\":[{\"name\":\"x\"}]}}", "{\"version\":5,\"upsert\":{\"routes\":7}}",
        "{\"version\":5,\"upsert\":{\"routes\":{}}}", "{\"version\":5,\"upsert\":{\"labels\":[{\"name\":\"x\"}]}}"}) {
    Result<Configuration> const made = apply_changes(base, bad);
    ASSERT_FALSE(made) << bad;
    EXPECT_EQ(answer_for(made.error()).status, 400u) << bad << ": " << made.error().what;
  }
}

namespace {
// The answer to an Amend that builds on this label; nothing when it goes on.
std::optional<ErrorCode> refusal_of(wire::ValueT const& present, std::uint64_t expected, std::string const& id) {
  Change change;
  change.type = Change::Type::apply;
  change.id = id;
  change.expected = expected;
  AmendStep const step = amend_step(present, change, "{\"version\": 900000}");
  Error const* const fault = std::get_if<Error>(&step);
  return fault == nullptr ? std::nullopt : std::optional<ErrorCode>(fault->code);
}
}  // namespace

TEST(Configurations, an_amend_is_refused_only_when_it_was_surely_not_taken) {
  wire::ValueT present;
  std::uint64_t const count = max_remembered_orders + 10;
  for (std::uint64_t n = 1; n <= count; ++n) {
    present.serial = n;
    present.label = n * 3;
    remember_order(present, "order-" + std::to_string(n));
  }
  // Order 10 was based on label 27 and is forgotten; order 11, based on 30, is remembered.
  EXPECT_EQ(refusal_of(present, 27, "order-10"), ErrorCode::change_unknown);
  EXPECT_EQ(refusal_of(present, 27, "never taken"), ErrorCode::change_unknown);
  EXPECT_EQ(refusal_of(present, 30, "order-11"), std::nullopt);
  EXPECT_EQ(refusal_of(present, 30, "never taken"), ErrorCode::stale_serial);
  EXPECT_EQ(refusal_of(present, present.label, "fits"), std::nullopt);
  EXPECT_EQ(refusal_of(present, present.label + 1, "builds on one to come"), ErrorCode::change_unknown);
}

TEST(Configurations, a_description_of_another_make_has_no_source) {
  char const none[] = "{\"version\":0,\"routes\":[],\"services\":[],\"limits\":{}}";
  EXPECT_EQ(source_of(""), none);
  EXPECT_EQ(source_of("{\"format\":1,\"pools\":[],\"lanes\":[]}"), none);
}

namespace {
// A register of three replicas whose disks sync at once, and one proposer.
class Versions : public testing::Test {
 protected:
  Versions() : proposer("n1", 7) {
    Membership members;
    members.epoch = 1;
    for (std::uint64_t i = 1; i <= 3; ++i) {
      wire::ReplicaT replica;
      replica.name = "k" + std::to_string(i);
      replica.disk = i;
      members.replicas.push_back(replica);
    }
    for (std::uint64_t i = 0; i < 3; ++i) {
      wire::RecordT recovered;
      recovered.cluster = "c";
      recovered.name = members.replicas[i].name;
      recovered.disk = members.replicas[i].disk;
      recovered.formed = true;
      recovered.accepted = wire::Ballot(1, 0);
      recovered.value = std::make_unique<wire::ValueT>();
      recovered.value->epoch = 1;
      for (wire::ReplicaT const& replica : members.replicas)
        recovered.value->replicas.push_back(std::make_unique<wire::ReplicaT>(replica));
      replicas.emplace(recovered.name, Acceptor(recovered));
    }
    proposer.adopt_membership(members);
  }

  Outcome ask(std::string const& id, std::string const& text, std::uint64_t expected, std::uint64_t label) {
    Change change;
    change.type = Change::Type::apply;
    change.id = id;
    change.text = text;
    change.expected = expected;
    change.label = label;
    std::optional<Outcome> out;
    EXPECT_TRUE(proposer.submit(
        change, [&out](Outcome const& outcome) { out = outcome; }, now));
    for (int turns = 0; turns < 400 && !out; ++turns) {
      now += millis(10);
      std::vector<OutgoingMessage> asks;
      proposer.tick(now, asks);
      while (!asks.empty()) {
        std::vector<OutgoingMessage> more;
        for (OutgoingMessage& item : asks) {
          std::string const to = item.to;
          Acceptor& replica = replicas.at(to);
          replica.enqueue("n1", std::move(item.body));
          std::vector<OutgoingMessage> replies;
          if (replica.step(replies)) replica.on_synced(replies);
          for (OutgoingMessage& reply : replies) proposer.handle_reply(to, reply.body, now, more);
        }
        asks = std::move(more);
      }
    }
    EXPECT_TRUE(out);
    return out.value_or(Outcome());
  }

  Proposer proposer;
  std::map<std::string, Acceptor> replicas;
  Micros now = 0;
};
}  // namespace

TEST_F(Versions, follow_one_another_by_the_operators_own_numbers) {
  EXPECT_EQ(ask("a", "one", 0, 10).type, Outcome::Type::chosen);
  Outcome const second = ask("b", "two", 10, 25);
  EXPECT_EQ(second.type, Outcome::Type::chosen);
  EXPECT_EQ(second.value.label, 25u);
  EXPECT_EQ(second.value.serial, 2u);
  EXPECT_EQ(second.value.text, "two");
}

TEST_F(Versions, a_change_of_an_old_version_is_stale) {
  ask("a", "one", 0, 10);
  for (std::uint64_t const based : {std::uint64_t(0), std::uint64_t(9)}) {
    Outcome const out = ask("c" + std::to_string(based), "two", based, 12);
    EXPECT_EQ(out.type, Outcome::Type::refused);
    EXPECT_EQ(out.error.code, ErrorCode::stale_serial) << based;
    EXPECT_EQ(out.value.text, "one");
    EXPECT_EQ(out.value.label, 10u);
  }
}

// The version that it builds on may still come, and a late copy of the order with it: a refusal could prove wrong.
TEST_F(Versions, a_change_of_a_version_to_come_is_left_unclear) {
  ask("a", "one", 0, 10);
  Outcome const out = ask("c", "three", 11, 12);
  EXPECT_EQ(out.type, Outcome::Type::unknown);
  EXPECT_EQ(out.error.code, ErrorCode::change_unknown);
  Outcome const next = ask("b", "two", 10, 11);
  EXPECT_EQ(next.value.text, "two") << "what was unclear changed nothing";
  EXPECT_EQ(ask("c", "three", 11, 12).type, Outcome::Type::chosen);
}

TEST_F(Versions, a_version_that_is_not_above_is_refused) {
  ask("a", "one", 0, 10);
  for (std::uint64_t const label : {std::uint64_t(10), std::uint64_t(9), std::uint64_t(1)}) {
    Outcome const out = ask("c" + std::to_string(label), "two", 10, label);
    EXPECT_EQ(out.type, Outcome::Type::refused);
    EXPECT_EQ(out.error.code, ErrorCode::bad_description) << label;
    EXPECT_EQ(out.value.text, "one");
  }
  // What is both is stale: the operator looks again first.
  EXPECT_EQ(ask("d", "two", 3, 4).error.code, ErrorCode::stale_serial);
}

TEST_F(Versions, a_change_that_is_repeated_is_the_same_change) {
  Outcome const first = ask("a", "one", 0, 10);
  Outcome const again = ask("a", "one", 0, 10);
  EXPECT_EQ(again.type, Outcome::Type::chosen);
  EXPECT_EQ(again.serial, first.serial);
  ask("b", "two", 10, 11);
  Outcome const late = ask("a", "one", 0, 10);
  EXPECT_EQ(late.type, Outcome::Type::chosen);
  EXPECT_EQ(late.serial, first.serial);
  EXPECT_EQ(late.value.text, "two") << "it is not made a second time";
  EXPECT_EQ(late.value.label, 11u);
  EXPECT_EQ(late.value.serial, 2u);
}

TEST_F(Versions, of_serials_and_labels_each_goes_by_its_own) {
  ask("a", "one", 0, 10);
  EXPECT_EQ(ask("b", "two", 10, 0).error.code, ErrorCode::stale_serial);
  Outcome const out = ask("c", "two", 1, 0);
  EXPECT_EQ(out.type, Outcome::Type::chosen);
  EXPECT_EQ(out.value.label, 10u);
}

}  // namespace pipit::platform
