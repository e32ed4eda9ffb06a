// Reads a description from the JSON text that the register stores.
#include "base/key_digest.h"
#include "config/description/builder.h"
#include "config/description/description.h"
#include "config/description/json_reader.h"

namespace pipit {

namespace {

constexpr std::int64_t max_quota = 1000000000000;  // requests or tokens
constexpr std::int64_t max_milliseconds = 86400000;
constexpr std::int64_t max_size = 1 << 30;  // bytes
constexpr Micros microsecond = 1;
constexpr Micros millisecond = millis(1);
constexpr Micros second = seconds(1);

// Parses one description, item by item in the order of the text, into a builder that checks the items against each
// other.
class DescriptionParser {
 public:
  Result<std::shared_ptr<Description const>> parse(JsonElement const& root);

 private:
  bool read_pool(JsonElement const& value, std::string const& path);
  bool read_lane(JsonElement const& value, std::string const& path);
  bool read_route(JsonElement const& value, std::string const& path);
  bool read_share(JsonElement const& value, std::string const& path, std::vector<Route::Share>& out);
  bool read_tenant(JsonElement const& value, std::string const& path);
  bool read_limits(JsonElement const& value, std::string const& path);
  bool read_binding(JsonElement const& value, std::string const& path, Binding& out);
  bool read_policy(JsonElement const& value, std::string const& path, Policy& out);
  bool read_key(JsonElement const& value, std::string const& path, std::vector<Digest>& out);
  bool read_counting_unit(JsonElement const& value, std::string const& path, CountingUnit& out);

  using ItemReader = bool (DescriptionParser::*)(JsonElement const& value, std::string const& path);
  // Each returns a reader that stores one field in a variable, which must outlive the reader.
  JsonValueReader each_with(ItemReader read_item);
  JsonValueReader text_into(std::string& out);
  JsonValueReader name_into(std::string& out);
  JsonValueReader boolean_into(bool& out);
  JsonValueReader number_into(std::int64_t& out, std::int64_t min, std::int64_t max);
  // Reads a duration, an integer number of units from 0 to 'max'.
  JsonValueReader time_into(Micros& out, Micros unit, std::int64_t max);

  JsonReader reader_;
  DescriptionBuilder builder_;
  CallLimits call_limits_;
};

JsonValueReader DescriptionParser::each_with(ItemReader read_item) {
  return [this, read_item](JsonElement const& value, std::string const& path) {
    return reader_.list(value, path, [this, read_item](JsonElement const& item, std::string const& item_path) {
      return (this->*read_item)(item, item_path);
    });
  };
}

JsonValueReader DescriptionParser::text_into(std::string& out) {
  return [this, &out](JsonElement const& value, std::string const& path) { return reader_.text(value, path, out); };
}

JsonValueReader DescriptionParser::name_into(std::string& out) {
  return [this, &out](JsonElement const& value, std::string const& path) { return reader_.name(value, path, out); };
}

JsonValueReader DescriptionParser::boolean_into(bool& out) {
  return [this, &out](JsonElement const& value, std::string const& path) { return reader_.boolean(value, path, out); };
}

JsonValueReader DescriptionParser::number_into(std::int64_t& out, std::int64_t min, std::int64_t max) {
  return [this, &out, min, max](JsonElement const& value, std::string const& path) {
    return reader_.number(value, path, min, max, out);
  };
}

JsonValueReader DescriptionParser::time_into(Micros& out, Micros unit, std::int64_t max) {
  return [this, &out, unit, max](JsonElement const& value, std::string const& path) {
    return reader_.time(value, path, unit, max, out);
  };
}

bool DescriptionParser::read_pool(JsonElement const& value, std::string const& path) {
  Pool pool;
  JsonFieldReaders const fields = {
      {"name", name_into(pool.name)},
      {"model", text_into(pool.model)},
      {"slots", number_into(pool.slots, 1, 100000)},
      {"cold_per_second", number_into(pool.cold_rate, 1, 100000)},
      {"cold_ms", time_into(pool.cold_period, millisecond, 600000)},
      {"cache_blocks", number_into(pool.cache_blocks, 0, 10000000)},
      {"cache_s", time_into(pool.cache_ttl, second, 864000)},
      {"block_us", time_into(pool.block_cost, microsecond, 10000000)},
      {"service_ms", time_into(pool.initial_service_time, millisecond, 3600000)},
      {"connections", number_into(pool.max_connections, 0, 1000000)},
      {"cache_tokens", number_into(pool.cache_tokens, 0, 1000000000000)},
      {"stride", number_into(pool.tokens_per_event, 1, 100000)},
  };
  if (!reader_.object(value, path, fields, {"name", "model"})) return false;
  return reader_.check(builder_.add(std::move(pool), path));
}

bool DescriptionParser::read_binding(JsonElement const& value, std::string const& path, Binding& out) {
  std::string code;
  if (!reader_.text(value, path, code)) return false;
  Result<Binding> compiled = compile_binding(code);
  if (!compiled)
    return reader_.fail_at(path + ": " + compiled.error().where, compiled.error().what, ErrorCode::bad_language);
  out = std::move(compiled.value());
  return true;
}

bool DescriptionParser::read_policy(JsonElement const& value, std::string const& path, Policy& out) {
  std::string code;
  if (!reader_.text(value, path, code)) return false;
  Result<Policy> compiled = compile_policy(code);
  if (!compiled)
    return reader_.fail_at(path + ": " + compiled.error().where, compiled.error().what, ErrorCode::bad_language);
  out = compiled.value();
  return true;
}

bool DescriptionParser::read_lane(JsonElement const& value, std::string const& path) {
  Lane lane;
  JsonFieldReaders const fields = {
      {"name", name_into(lane.name)},
      {"binding", [&](JsonElement const& item,
                      std::string const& item_path) { return read_binding(item, item_path, lane.binding); }},
      {"policy", [&](JsonElement const& item,
                     std::string const& item_path) { return read_policy(item, item_path, lane.policy); }},
  };
  if (!reader_.object(value, path, fields, {"name", "binding"})) return false;
  return reader_.check(builder_.add(std::move(lane), path));
}

// The pools that shares name must precede the routes in the text.
bool DescriptionParser::read_share(JsonElement const& value, std::string const& path, std::vector<Route::Share>& out) {
  Route::Share share;
  JsonFieldReaders const fields = {
      {"pool", text_into(share.pool)},
      {"weight", number_into(share.weight, 0, 1000000)},
  };
  if (!reader_.object(value, path, fields, {"pool"})) return false;
  if (!builder_.has_pool(share.pool)) return reader_.fail_at(path, "there is no pool '" + share.pool + "'");
  out.push_back(std::move(share));
  return true;
}

bool DescriptionParser::read_route(JsonElement const& value, std::string const& path) {
  Route route;
  JsonValueReader const one_share = [&](JsonElement const& item, std::string const& item_path) {
    return read_share(item, item_path, route.shares);
  };
  JsonFieldReaders const fields = {
      {"name", text_into(route.name)},
      {"host", text_into(route.host)},
      {"prefix", text_into(route.prefix)},
      {"shares",
       [&](JsonElement const& item, std::string const& item_path) { return reader_.list(item, item_path, one_share); }},
      {"repeatable", boolean_into(route.repeatable)},
      {"streams", boolean_into(route.streams)},
      {"resumable", boolean_into(route.resumable)},
      {"hold_ms", time_into(route.request_timeout, millisecond, max_milliseconds)},
      {"aim_ms", time_into(route.latency_target, millisecond, max_milliseconds)},
      {"gap_ms", time_into(route.max_event_gap, millisecond, max_milliseconds)},
      {"rank", number_into(route.rank, 0, 1000)},
      {"attempts", number_into(route.max_attempts, 1, 1000)},
      {"public", boolean_into(route.is_public)},
  };
  if (!reader_.object(value, path, fields, {"name", "host", "prefix", "shares"})) return false;
  return reader_.check(builder_.add(std::move(route), path));
}

bool DescriptionParser::read_key(JsonElement const& value, std::string const& path, std::vector<Digest>& out) {
  std::string key;
  if (!reader_.text(value, path, key)) return false;
  out.push_back(key_digest_of(key));
  return true;
}

bool DescriptionParser::read_counting_unit(JsonElement const& value, std::string const& path, CountingUnit& out) {
  std::string unit_name;
  if (!reader_.text(value, path, unit_name)) return false;
  if (unit_name != "requests" && unit_name != "tokens")
    return reader_.fail_at(path, "'requests' or 'tokens' is expected");
  out = unit_name == "tokens" ? CountingUnit::tokens : CountingUnit::requests;
  return true;
}

bool DescriptionParser::read_tenant(JsonElement const& value, std::string const& path) {
  Tenant tenant;
  JsonValueReader const one_key = [&](JsonElement const& item, std::string const& item_path) {
    return read_key(item, item_path, tenant.keys);
  };
  JsonFieldReaders const fields = {
      {"name", text_into(tenant.name)},
      {"keys",
       [&](JsonElement const& item, std::string const& item_path) { return reader_.list(item, item_path, one_key); }},
      {"rank", number_into(tenant.rank, 0, 1000)},
      {"counts", [&](JsonElement const& item,
                     std::string const& item_path) { return read_counting_unit(item, item_path, tenant.unit); }},
      {"plain_tokens", number_into(tenant.default_tokens, 0, max_quota)},
      {"rate", number_into(tenant.rate, 0, max_quota)},
      {"burst", number_into(tenant.burst, 0, max_quota)},
  };
  if (!reader_.object(value, path, fields, {"name", "keys"})) return false;
  return reader_.check(builder_.add(std::move(tenant), path));
}

bool DescriptionParser::read_limits(JsonElement const& value, std::string const& path) {
  JsonFieldReaders const fields = {
      {"head_bytes", number_into(call_limits_.max_header_bytes, 1, max_size)},
      {"body_bytes", number_into(call_limits_.max_body_bytes, 0, max_size)},
      {"head_ms", time_into(call_limits_.header_timeout, millisecond, max_milliseconds)},
      {"idle_ms", time_into(call_limits_.idle_timeout, millisecond, max_milliseconds)},
  };
  return reader_.object(value, path, fields, {});
}

Result<std::shared_ptr<Description const>> DescriptionParser::parse(JsonElement const& root) {
  std::int64_t format = 0;
  std::string source;
  Micros locality_cost = Description().locality_cost;
  JsonValueReader const read_tenants = each_with(&DescriptionParser::read_tenant);
  JsonFieldReaders const fields = {
      {"limits", [this](JsonElement const& value, std::string const& path) { return read_limits(value, path); }},
      {"source", text_into(source)},
      {"routes", each_with(&DescriptionParser::read_route)},
      {"tenants",
       [&](JsonElement const& value, std::string const& path) {
         builder_.require_keys();
         return read_tenants(value, path);
       }},
      {"format", number_into(format, 1, 1)},
      {"locality_ms", time_into(locality_cost, millisecond, 600000)},
      {"pools", each_with(&DescriptionParser::read_pool)},
      {"lanes", each_with(&DescriptionParser::read_lane)},
  };
  if (!reader_.object(root, "$", fields, {"format", "pools", "lanes"}))
    return boost::outcome_v2::failure(reader_.error());
  builder_.set_limits(call_limits_);
  builder_.set_source(std::move(source));
  builder_.set_locality_cost(locality_cost);
  return builder_.finish();
}

}  // namespace

Result<std::shared_ptr<Description const>> read_description(std::string_view text) {
  if (text.size() > description_limit)
    return fail(ErrorCode::too_large, "a description has at max " + std::to_string(description_limit) + " bytes");
  simdjson::dom::parser parser;
  JsonElement root;
  simdjson::error_code const code = parser.parse(simdjson::padded_string(text)).get(root);
  if (code) return fail(ErrorCode::bad_json, simdjson::error_message(code), json_error_location(text));
  return DescriptionParser().parse(root);
}

}  // namespace pipit
