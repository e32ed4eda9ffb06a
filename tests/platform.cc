// The users' platform: its settings file, the conversion of its configuration to a description, and the operator's
// version numbers.
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

Result<NodeServerOptions> plan_from_fields(Fields const& fields) {
  std::string text;
  for (std::pair<std::string const, std::string> const& item : fields) text += item.first + "=" + item.second + "\n";
  Result<SettingsFile> const file = SettingsFile::parse(text);
  if (!file) return file.as_failure();
  return make_plan(file.value());
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

std::shared_ptr<Description const> compiled_description(Configuration const& configuration) {
  Result<std::shared_ptr<Description const>> const read = read_configuration(configuration.text);
  return read ? read.value() : nullptr;
}

// The base configuration with one part of its text replaced.
std::string base_with(std::string const& old, std::string const& replacement) {
  std::string out = base;
  std::size_t const at = out.find(old);
  EXPECT_NE(at, std::string::npos) << old;
  return at == std::string::npos ? out : out.replace(at, old.size(), replacement);
}
}  // namespace

TEST(SettingsFile, a_valid_file_gives_a_plan) {
  Fields fields = good_fields();
  fields["field_of_a_later_version"] = "any = value";
  fields["bounds.retry_budget_ratio"] = "0.4";
  fields["bounds.extra_retries"] = "10";
  fields["bounds.grace_s"] = "2.5";
  fields["beat_interval_ms"] = "700";
  fields["limits.link_mbps"] = "10";
  Result<NodeServerOptions> const plan = plan_from_fields(fields);
  ASSERT_TRUE(plan) << plan.error().what;
  EXPECT_EQ(plan.value().node.name, "n1");
  EXPECT_EQ(plan.value().node.address, "127.0.0.1:7100");
  EXPECT_EQ(plan.value().front_address, "127.0.0.1:7001");
  EXPECT_EQ(plan.value().control_address, "127.0.0.1:7003");
  EXPECT_EQ(plan.value().node.seeds, (std::vector<std::string>{"127.0.0.2:7100", "127.0.0.3:7100"}));
  EXPECT_EQ(plan.value().shutdown_grace, millis(2500));
  EXPECT_EQ(plan.value().node.heartbeat_interval, millis(700));
  EXPECT_EQ(plan.value().node.link_bytes_per_second, 1250000u);
  EXPECT_LE(plan.value().node.retry_budget_ratio, 0.4);
  EXPECT_LE(plan.value().node.retry_budget_limit, 10);
  EXPECT_FALSE(plan.value().node.is_replica);
  fields["data_directory"] = "/anywhere";
  EXPECT_TRUE(plan_from_fields(fields).value().node.is_replica);
}

TEST(SettingsFile, bounds_of_keys_and_quota_come_from_the_file) {
  Fields fields = good_fields();
  fields["bounds.revocation_ms"] = "5000";
  EXPECT_EQ(plan_from_fields(fields).value().node.revocation_bound, 0)
      << "without bounds.revocation_closed the bound does not apply to isolated nodes";
  fields["bounds.revocation_closed"] = "true";
  fields["bounds.quota_window_s"] = "8";
  fields["bounds.quota_overshoot"] = "0.1";
  fields["bounds.quota_slack"] = "140000";
  NodePlan const node = plan_from_fields(fields).value().node;
  EXPECT_GT(node.revocation_bound, seconds(4));
  EXPECT_LT(node.revocation_bound, seconds(5));
  EXPECT_EQ(node.quota_terms.window, seconds(8));
  EXPECT_EQ(node.quota_terms.overshoot, 0.1);
  EXPECT_EQ(node.quota_terms.slack, 140000);
}

// The platform reads the metrics port in the deploy file, whereas the process listens at the constant in the code.
TEST(SettingsFile, metrics_port_is_that_of_the_deploy_file) {
  std::ifstream file(std::string(SOURCE) + "/deploy/system.toml");
  std::stringstream deploy;
  deploy << file.rdbuf();
  std::string const line = "metrics = \"" + std::to_string(metrics_port) + "/metrics\"";
  EXPECT_NE(deploy.str().find(line), std::string::npos) << line;
  Result<NodeServerOptions> const plan = plan_from_fields(good_fields());
  ASSERT_TRUE(plan);
  EXPECT_EQ(plan.value().metrics_address, "127.0.0.1:" + std::to_string(metrics_port));
}

TEST(SettingsFile, comments_empty_lines_and_both_line_endings_are_accepted) {
  Result<SettingsFile> const file = SettingsFile::parse("# a comment\r\n\r\nzone=a b \r\nlist=x,,y\nempty=\nsum=1=2");
  ASSERT_TRUE(file);
  EXPECT_EQ(file.value().get("zone"), "a b");
  EXPECT_EQ(file.value().list("list"), (std::vector<std::string>{"x", "y"}));
  EXPECT_EQ(file.value().get("empty"), "");
  EXPECT_EQ(file.value().get("sum"), "1=2");
  EXPECT_EQ(file.value().get("none"), "");
  for (char const* const bad : {"zone=a\nwords", "=x"}) {
    Result<SettingsFile> const malformed = SettingsFile::parse(bad);
    ASSERT_FALSE(malformed) << bad;
    EXPECT_NE(malformed.error().what.find("line "), std::string::npos) << malformed.error().what;
  }
}

TEST(SettingsFile, the_error_names_the_missing_field) {
  for (char const* const key : {"node_name", "ip_address", "zone", "internal_port_range"}) {
    Fields fields = good_fields();
    fields.erase(key);
    Result<NodeServerOptions> const plan = plan_from_fields(fields);
    ASSERT_FALSE(plan) << key;
    EXPECT_NE(plan.error().what.find(key), std::string::npos) << plan.error().what;
    EXPECT_EQ(plan.error().what.find('\n'), std::string::npos);
  }
}

TEST(SettingsFile, the_error_names_the_invalid_field) {
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
    Result<NodeServerOptions> const plan = plan_from_fields(fields);
    ASSERT_FALSE(plan) << row.key << "=" << row.value;
    std::string const group =
        std::string(row.key).substr(0, std::string(row.key).rfind("listen_addresses.") == 0 ? 16 : 64);
    EXPECT_NE(plan.error().what.find(group), std::string::npos) << row.key << ": " << plan.error().what;
    EXPECT_EQ(plan.error().code, ErrorCode::bad_settings);
  }
}

TEST(PlatformConfiguration, complete_configuration_becomes_a_description) {
  Result<Configuration> const configuration = read_complete_configuration(base);
  ASSERT_TRUE(configuration) << configuration.error().where << " " << configuration.error().what;
  EXPECT_EQ(configuration.value().version, 4u);
  EXPECT_EQ(configuration_source(configuration.value().text), base)
      << "the text of the configuration must be kept unchanged";
  std::shared_ptr<Description const> const description = compiled_description(configuration.value());
  ASSERT_TRUE(description);
  ASSERT_EQ(description->routes.size(), 3u);
  Route const& chat = description->routes[0];
  EXPECT_EQ(chat.prefix, "/v1/chat/");
  EXPECT_TRUE(chat.streams && chat.resumable && !chat.repeatable);
  EXPECT_EQ(chat.request_timeout, seconds(260));
  EXPECT_EQ(chat.latency_target, millis(900));
  EXPECT_EQ(chat.max_event_gap, millis(200));
  EXPECT_EQ(chat.rank, 2);
  EXPECT_EQ(chat.max_attempts, 3);
  Route const& embed = description->routes[1];
  EXPECT_TRUE(embed.repeatable && !embed.streams);
  ASSERT_EQ(embed.shares.size(), 2u);
  EXPECT_EQ(embed.shares[0].pool, pool_name_of("big_llm"));
  EXPECT_EQ(embed.shares[0].weight, 3);
  EXPECT_FALSE(description->routes[2].repeatable);
  EXPECT_EQ(description->routes[2].max_attempts, 1);
  Pool const* const pool = description->find_pool(pool_name_of("big_llm"));
  ASSERT_NE(pool, nullptr);
  EXPECT_EQ(pool->slots, 12);
  EXPECT_EQ(pool->cache_tokens, 260000);
  EXPECT_EQ(pool->tokens_per_event, 4);
  EXPECT_EQ(pool->max_connections, 200);
  EXPECT_EQ(pool->model, "m");
  EXPECT_EQ(description->limits.max_header_bytes, 8192);
  EXPECT_EQ(description->limits.max_body_bytes, 1000000);
  EXPECT_EQ(description->limits.header_timeout, seconds(3));
  EXPECT_EQ(description->limits.idle_timeout, seconds(20));
}

// The register may hold a text of an older version: a description in the product's own format, with the operator's
// configuration in the field "source".
TEST(PlatformConfiguration, text_of_an_older_version_is_read) {
  std::string const sent = "{\"version\":3,\"routes\":[],\"services\":[]}";
  std::string const old =
      "{\"format\":1,\"pools\":[{\"name\":\"s-a\",\"model\":\"m\"}],\"lanes\":[],\"routes\":[{\"name\":\"r\","
      "\"host\":\"h\",\"prefix\":\"/\",\"shares\":[{\"pool\":\"s-a\"}]}],"
      "\"source\":\"{\\\"version\\\":3,\\\"routes\\\":[],\\\"services\\\":[]}\"}";
  Result<std::shared_ptr<Description const>> const read = read_configuration(old);
  ASSERT_TRUE(read) << read.error().what;
  EXPECT_NE(read.value()->find_route("h", "/x"), nullptr);
  EXPECT_EQ(configuration_source(old), sent);
}

TEST(PlatformConfiguration, invalid_configurations_are_refused) {
  std::string const rows[] = {
      "",
      "nonsense",
      "[]",
      "7",
      "{\"version\":1}",
      base_with("\"version\": 4,", ""),
      base_with("\"version\": 4", "\"version\": 0"),
      base_with("\"version\": 4", "\"version\": -4"),
      base_with("\"version\": 4", "\"version\": \"4\""),
      base_with("\"routes\"", "\"roots\""),
      base_with("\"services\": [\n", "\"servants\": [\n"),
      base_with("\"path_prefix\": \"/v1/chat\"", "\"path_prefix\": \"v1\""),
      base_with("\"path_prefix\": \"/v1/chat\"", "\"path_prefix\": \"\""),
      base_with("\"path_prefix\": \"/v1/chat\"", "\"path_prefix\": \"/v1/embed\""),
      base_with("\"host\": \"api.test\", ", ""),
      base_with("\"name\": \"chat\"", "\"name\": \"embed\""),
      base_with("\"name\": \"chat\", ", ""),
      base_with("\"service\": \"big_llm\", \"timeout_ms\"", "\"service\": \"nobody\", \"timeout_ms\""),
      base_with("\"service\": \"big_llm\", \"timeout_ms\"", "\"timeout_ms\""),
      base_with("\"timeout_ms\": 260000.0", "\"timeout_ms\": 0"),
      base_with("\"timeout_ms\": 260000.0", "\"timeout_ms\": -1"),
      base_with("\"timeout_ms\": 260000.0", "\"timeout_ms\": 1e300"),
      base_with("\"timeout_ms\": 260000.0, ", ""),
      base_with("\"weight\": 3}, {\"service\": \"small\", \"weight\": 1}",
                "\"weight\": 0}, {\"service\": \"small\", \"weight\": 0}"),
      base_with("\"weight\": 3", "\"weight\": -3"),
      base_with("[{\"service\": \"big_llm\", \"weight\": 3}, {\"service\": \"small\", \"weight\": 1}]", "[]"),
      base_with("{\"name\": \"small\"}", "{\"name\": \"big_llm\"}"),
      base_with("{\"name\": \"small\"}", "{}"),
      base_with("\"max_body_bytes\": 1000000", "\"max_body_bytes\": -1"),
      base_with("\"max_body_bytes\": 1000000", "\"max_body_bytes\": -1e300"),
  };
  for (std::string const& row : rows) {
    Result<Configuration> const configuration = read_complete_configuration(row);
    ASSERT_FALSE(configuration) << row;
    EXPECT_EQ(error_response(configuration.error()).status, 400u) << configuration.error().what << "\n" << row;
    EXPECT_FALSE(configuration.error().what.empty());
  }
}

TEST(PlatformConfiguration, different_services_have_different_pool_names) {
  char const* const names[] = {"a", "a_", "a-", "a.b", "a_b", "a_2eb", "A", "a b", "1", "\xc3\xa9", ""};
  std::set<std::string> seen;
  for (char const* const name : names) EXPECT_TRUE(seen.insert(pool_name_of(name)).second) << name;
}

TEST(PlatformConfiguration, amend_adds_replaces_and_removes_items_and_keeps_other_text) {
  Result<Configuration> const configuration =
      apply_changes(base,
                    "{\"version\": 5, \"upsert\": {\"routes\": [\n"
                    "{\"name\":\"once\",\"host\":\"api.test\",\"path_prefix\":\"/\",\"service\":\"tiny\","
                    "\"timeout_ms\":2000.50}],"
                    "\"services\": [{\"name\": \"tiny\"}], \"limits\": {\"max_header_bytes\": 4096}},"
                    "\"remove\": {\"routes\": [\"embed\"], \"services\": [\"small\", \"nobody\"]}}");
  ASSERT_TRUE(configuration) << configuration.error().where << " " << configuration.error().what;
  EXPECT_EQ(configuration.value().version, 5u);
  std::string const source = configuration_source(configuration.value().text);
  for (char const* const kept : {"\"timeout_ms\": 260000.0,", "\"cache_tokens\": 260000.0,",
                                 "\"note\": {\"by\": [1, 2.50]}", "2000.50", "[\"one\", \"two\"]", "\"ops\""})
    EXPECT_NE(source.find(kept), std::string::npos) << kept << "\n" << source;
  std::shared_ptr<Description const> const description = compiled_description(configuration.value());
  ASSERT_TRUE(description);
  ASSERT_EQ(description->routes.size(), 2u);
  EXPECT_EQ(description->routes[0].name, "chat");
  EXPECT_EQ(description->routes[1].name, "once");
  EXPECT_EQ(description->routes[1].request_timeout, millis(2000));
  EXPECT_EQ(description->routes[1].shares[0].pool, pool_name_of("tiny"));
  EXPECT_EQ(description->find_pool(pool_name_of("small")), nullptr);
  EXPECT_EQ(description->limits.max_header_bytes, 4096);
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  std::uint64_t version = 0;
  ASSERT_FALSE(parser.parse(simdjson::padded_string(source)).get(root));
  ASSERT_FALSE(root["version"].get_uint64().get(version));
  EXPECT_EQ(version, 5u);
}

TEST(PlatformConfiguration, amend_without_changes_changes_only_the_version) {
  Result<Configuration> const configuration = apply_changes(base, "{\"version\": 9}");
  ASSERT_TRUE(configuration) << configuration.error().where << " " << configuration.error().what;
  Result<Configuration> const repeated =
      apply_changes(configuration_source(configuration.value().text), "{\"version\": 9}");
  ASSERT_TRUE(repeated);
  EXPECT_EQ(configuration_source(repeated.value().text), configuration_source(configuration.value().text));
  EXPECT_EQ(compiled_description(configuration.value())->routes.size(), 3u);
}

TEST(PlatformConfiguration, amend_of_an_empty_configuration_creates_one) {
  std::string const none = configuration_source("");
  Result<Configuration> const configuration = apply_changes(
      none,
      "{\"version\":1,\"upsert\":{\"services\":[{\"name\":\"s\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
      "\"path_prefix\":\"/\",\"service\":\"s\",\"timeout_ms\":10}]}}");
  ASSERT_TRUE(configuration) << configuration.error().where << " " << configuration.error().what;
  EXPECT_EQ(compiled_description(configuration.value())->routes.size(), 1u);
}

TEST(PlatformConfiguration, invalid_changes_are_refused) {
  for (char const* const bad :
       {"", "[]", "{}", "{\"version\":\"5\"}", "{\"version\":0}", "{\"version\":5,\"upsert\":[]}",
        "{\"version\":5,\"remove\":7}", "{\"version\":5,\"remove\":{\"routes\":\"chat\"}}",
        "{\"version\":5,\"remove\":{\"routes\":[1]}}", "{\"version\":5,\"upsert\":{\"routes\":[1]}}",
        "{\"version\":5,\"upsert\":{\"routes\":[{\"host\":\"x\"}]}}",
        "{\"version\":5,\"remove\":{\"services\":[\"small\"]}}",
        "{\"version\":5,\"upsert\":{\"limits\":[{\"name\":\"x\"}]}}", "{\"version\":5,\"upsert\":{\"routes\":7}}",
        "{\"version\":5,\"upsert\":{\"routes\":{}}}", "{\"version\":5,\"upsert\":{\"labels\":[{\"name\":\"x\"}]}}"}) {
    Result<Configuration> const configuration = apply_changes(base, bad);
    ASSERT_FALSE(configuration) << bad;
    EXPECT_EQ(error_response(configuration.error()).status, 400u) << bad << ": " << configuration.error().what;
  }
}

namespace {
// The error for an Amend call that is based on label `expected`; nullopt if the change is to be proposed.
std::optional<ErrorCode> amend_error(wire::ValueT const& present, std::uint64_t expected, std::string const& id) {
  Change change;
  change.type = Change::Type::apply;
  change.id = id;
  change.expected = expected;
  AmendDecision const decision = decide_amend(present, change, "{\"version\": 900000}");
  Error const* const fault = std::get_if<Error>(&decision);
  return fault == nullptr ? std::nullopt : std::optional<ErrorCode>(fault->code);
}
}  // namespace

TEST(PlatformConfiguration, amend_is_refused_only_if_it_was_certainly_not_applied) {
  wire::ValueT present;
  std::uint64_t const count = max_remembered_orders + 10;
  for (std::uint64_t n = 1; n <= count; ++n) {
    present.serial = n;
    present.label = n * 3;
    remember_order(present, "order-" + std::to_string(n));
  }
  // Order 10 was based on label 27 and is forgotten; order 11, based on 30, is remembered.
  EXPECT_EQ(amend_error(present, 27, "order-10"), ErrorCode::change_unknown);
  EXPECT_EQ(amend_error(present, 27, "never applied"), ErrorCode::change_unknown);
  EXPECT_EQ(amend_error(present, 30, "order-11"), std::nullopt);
  EXPECT_EQ(amend_error(present, 30, "never applied"), ErrorCode::stale_serial);
  EXPECT_EQ(amend_error(present, present.label, "based on the present label"), std::nullopt);
  EXPECT_EQ(amend_error(present, present.label + 1, "based on a future label"), ErrorCode::change_unknown);
}

TEST(PlatformConfiguration, description_without_source_reads_as_an_empty_configuration) {
  char const none[] = "{\"version\":0,\"routes\":[],\"services\":[],\"limits\":{}}";
  EXPECT_EQ(configuration_source(""), none);
  EXPECT_EQ(configuration_source("{\"format\":1,\"pools\":[],\"lanes\":[]}"), none);
}

namespace {
// A register of three replicas whose disks sync at once, and one proposer.
class ConfigurationVersions : public testing::Test {
 protected:
  ConfigurationVersions() : proposer("n1", 7) {
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

  // Submits a change that is based on label `expected`, and runs the register until the outcome is known.
  Outcome submit(std::string const& id, std::string const& text, std::uint64_t expected, std::uint64_t label) {
    Change change;
    change.type = Change::Type::apply;
    change.id = id;
    change.text = text;
    change.expected = expected;
    change.label = label;
    std::optional<Outcome> out;
    EXPECT_TRUE(proposer.submit(
        change, [&out](Outcome const& outcome) { out = outcome; }, now));
    for (int round = 0; round < 400 && !out; ++round) {
      now += millis(10);
      std::vector<OutgoingMessage> messages;
      proposer.tick(now, messages);
      while (!messages.empty()) {
        std::vector<OutgoingMessage> more;
        for (OutgoingMessage& item : messages) {
          std::string const to = item.to;
          Acceptor& replica = replicas.at(to);
          replica.enqueue("n1", std::move(item.body));
          std::vector<OutgoingMessage> replies;
          if (replica.step(replies)) replica.on_synced(replies);
          for (OutgoingMessage& reply : replies) proposer.handle_reply(to, reply.body, now, more);
        }
        messages = std::move(more);
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

TEST_F(ConfigurationVersions, labels_are_those_of_the_operator) {
  EXPECT_EQ(submit("a", "one", 0, 10).type, Outcome::Type::chosen);
  Outcome const second = submit("b", "two", 10, 25);
  EXPECT_EQ(second.type, Outcome::Type::chosen);
  EXPECT_EQ(second.value.label, 25u);
  EXPECT_EQ(second.value.serial, 2u);
  EXPECT_EQ(second.value.text, "two");
}

TEST_F(ConfigurationVersions, change_based_on_an_old_version_is_stale) {
  submit("a", "one", 0, 10);
  for (std::uint64_t const based : {std::uint64_t(0), std::uint64_t(9)}) {
    Outcome const out = submit("c" + std::to_string(based), "two", based, 12);
    EXPECT_EQ(out.type, Outcome::Type::refused);
    EXPECT_EQ(out.error.code, ErrorCode::stale_serial) << based;
    EXPECT_EQ(out.value.text, "one");
    EXPECT_EQ(out.value.label, 10u);
  }
}

// The version that the change is based on may still be chosen, and a late copy of the order may then be applied, so the
// change cannot be refused.
TEST_F(ConfigurationVersions, outcome_of_a_change_based_on_a_future_version_is_unknown) {
  submit("a", "one", 0, 10);
  Outcome const out = submit("c", "three", 11, 12);
  EXPECT_EQ(out.type, Outcome::Type::unknown);
  EXPECT_EQ(out.error.code, ErrorCode::change_unknown);
  Outcome const next = submit("b", "two", 10, 11);
  EXPECT_EQ(next.value.text, "two") << "the change with an unknown outcome must not be applied";
  EXPECT_EQ(submit("c", "three", 11, 12).type, Outcome::Type::chosen);
}

TEST_F(ConfigurationVersions, version_that_is_not_above_the_present_one_is_refused) {
  submit("a", "one", 0, 10);
  for (std::uint64_t const label : {std::uint64_t(10), std::uint64_t(9), std::uint64_t(1)}) {
    Outcome const out = submit("c" + std::to_string(label), "two", 10, label);
    EXPECT_EQ(out.type, Outcome::Type::refused);
    EXPECT_EQ(out.error.code, ErrorCode::bad_description) << label;
    EXPECT_EQ(out.value.text, "one");
  }
  // A change with an outdated base and a low version is stale: the operator must read the present version first.
  EXPECT_EQ(submit("d", "two", 3, 4).error.code, ErrorCode::stale_serial);
}

TEST_F(ConfigurationVersions, repeated_change_is_applied_once) {
  Outcome const first = submit("a", "one", 0, 10);
  Outcome const repeated = submit("a", "one", 0, 10);
  EXPECT_EQ(repeated.type, Outcome::Type::chosen);
  EXPECT_EQ(repeated.serial, first.serial);
  submit("b", "two", 10, 11);
  Outcome const late = submit("a", "one", 0, 10);
  EXPECT_EQ(late.type, Outcome::Type::chosen);
  EXPECT_EQ(late.serial, first.serial);
  EXPECT_EQ(late.value.text, "two") << "the repeated change must not be applied again";
  EXPECT_EQ(late.value.label, 11u);
  EXPECT_EQ(late.value.serial, 2u);
}

TEST_F(ConfigurationVersions, changes_without_a_label_are_based_on_the_serial) {
  submit("a", "one", 0, 10);
  EXPECT_EQ(submit("b", "two", 10, 0).error.code, ErrorCode::stale_serial);
  Outcome const out = submit("c", "two", 1, 0);
  EXPECT_EQ(out.type, Outcome::Type::chosen);
  EXPECT_EQ(out.value.label, 10u);
}

}  // namespace pipit::platform
