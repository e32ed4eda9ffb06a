#include "config/description/description.h"

#include <simdjson.h>

#include <algorithm>
#include <cctype>
#include <functional>
#include <map>
#include <set>

#include "base/key_digest.h"
#include "config/description/builder.h"

namespace pipit {

namespace {

using Element = simdjson::dom::element;
using Rules = std::map<std::string_view, std::function<bool(Element const&, std::string const& path)>>;

// Walks a malformed text to the byte at which the reader gave up.
std::string broken_place(std::string_view text) {
  simdjson::padded_string const pad(text);
  simdjson::ondemand::parser parser;
  simdjson::ondemand::document doc;
  if (parser.iterate(pad).get(doc)) return "line 1, column 1";
  std::function<bool(simdjson::ondemand::value)> walk = [&walk](simdjson::ondemand::value value) -> bool {
    simdjson::ondemand::json_type type;
    if (value.type().get(type)) return false;
    if (type == simdjson::ondemand::json_type::object) {
      simdjson::ondemand::object object;
      if (value.get_object().get(object)) return false;
      for (simdjson::simdjson_result<simdjson::ondemand::field> field : object) {
        simdjson::ondemand::value inner;
        if (field.error() || field.value().get(inner) || !walk(inner)) return false;
      }
      return true;
    }
    if (type == simdjson::ondemand::json_type::array) {
      simdjson::ondemand::array array;
      if (value.get_array().get(array)) return false;
      for (simdjson::simdjson_result<simdjson::ondemand::value> item : array) {
        simdjson::ondemand::value inner;
        if (item.get(inner) || !walk(inner)) return false;
      }
      return true;
    }
    if (type == simdjson::ondemand::json_type::string) return !value.get_string().error();
    if (type == simdjson::ondemand::json_type::number) return !value.get_double().error();
    if (type == simdjson::ondemand::json_type::boolean) return !value.get_bool().error();
    return value.is_null();
  };
  simdjson::ondemand::value root;
  if (!doc.get_value().get(root)) walk(root);
  char const* position = nullptr;
  if (doc.current_location().get(position) || position == nullptr) return place_of(text, text.size());
  std::ptrdiff_t const off = position - pad.data();
  if (off < 0 || static_cast<std::size_t>(off) > text.size()) return place_of(text, text.size());
  return place_of(text, static_cast<std::size_t>(off));
}

constexpr std::int64_t quota_number_most = 1000000000000;  // requests or tokens
constexpr std::int64_t rank_most = 9;                      // that a worker takes

// How many of the numbers are smaller.
std::size_t index_in(std::set<std::int64_t> const& numbers, std::int64_t number) {
  return static_cast<std::size_t>(std::distance(numbers.begin(), numbers.lower_bound(number)));
}

class Reader {
 public:
  Error error;

  bool added(Result<void> const& result) {
    if (result) return true;
    error = result.error();
    return false;
  }

  bool wrong(std::string const& path, std::string why, ErrorCode kind = ErrorCode::bad_description) {
    error = Error{kind, std::move(why), path};
    return false;
  }

  bool object(Element const& value, std::string const& path, Rules const& rules,
              std::set<std::string_view> const& needs) {
    simdjson::dom::object obj;
    if (value.get_object().get(obj)) return wrong(path, "an object is expected");
    std::set<std::string_view> seen;
    for (simdjson::dom::key_value_pair const& item : obj) {
      std::string const inner = path + "." + std::string(item.key);
      Rules::const_iterator const rule = rules.find(item.key);
      if (rule == rules.end()) return wrong(inner, "there is no field of this name");
      if (!seen.insert(item.key).second) return wrong(inner, "the field stands twice");
      if (!rule->second(item.value, inner)) return false;
    }
    for (std::string_view const need : needs)
      if (!seen.count(need)) return wrong(path, "the field '" + std::string(need) + "' is missing");
    return true;
  }

  bool list(Element const& value, std::string const& path,
            std::function<bool(Element const&, std::string const&)> const& each) {
    simdjson::dom::array items;
    if (value.get_array().get(items)) return wrong(path, "a list is expected");
    std::size_t n = 0;
    for (Element const& item : items)
      if (!each(item, path + "[" + std::to_string(n++) + "]")) return false;
    return true;
  }

  bool text(Element const& value, std::string const& path, std::string& out) {
    std::string_view view;
    if (value.get_string().get(view)) return wrong(path, "a text is expected");
    if (view.empty()) return wrong(path, "the text is empty");
    out = view;
    return true;
  }

  bool name(Element const& value, std::string const& path, std::string& out) {
    if (!text(value, path, out)) return false;
    bool good = out.size() <= 64;
    for (std::size_t i = 0; i < out.size(); ++i) {
      char const c = out[i];
      bool const letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
      good = good && (letter || (i > 0 && ((c >= '0' && c <= '9') || c == '-')));
    }
    return good || wrong(path, "a name is letters, digits, '_' and '-', begins with a letter, and has at most 64");
  }

  bool truth(Element const& value, std::string const& path, bool& out) {
    return !value.get_bool().get(out) || wrong(path, "true or false is expected");
  }

  bool number(Element const& value, std::string const& path, std::int64_t least, std::int64_t most, std::int64_t& out) {
    if (value.get_int64().get(out)) return wrong(path, "a whole number is expected");
    if (out < least || out > most)
      return wrong(path, "the number is not within " + std::to_string(least) + " and " + std::to_string(most));
    return true;
  }
  bool unit(Element const& value, std::string const& path, CountingUnit& out) {
    std::string word;
    if (!text(value, path, word)) return false;
    if (word != "requests" && word != "tokens") return wrong(path, "'requests' or 'tokens' is expected");
    out = word == "tokens" ? CountingUnit::tokens : CountingUnit::requests;
    return true;
  }

  bool span(Element const& value, std::string const& path, std::int64_t unit, std::int64_t most, Micros& out) {
    std::int64_t n = 0;
    if (!number(value, path, 0, most, n)) return false;
    out = n * unit;
    return true;
  }
};

}  // namespace

Pool const* Description::pool(std::string_view name) const {
  for (Pool const& item : pools)
    if (item.name == name) return &item;
  return nullptr;
}

std::string lower_host(std::string_view host) {
  std::string out(host);
  for (char& c : out) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return out;
}

Route const* Description::route(std::string_view host, std::string_view path) const {
  std::unordered_map<std::string, std::vector<std::size_t>>::const_iterator const of_host =
      routes_by_host.find(lower_host(host));
  if (of_host == routes_by_host.end()) return nullptr;
  Route const* best = nullptr;
  for (std::size_t const index : of_host->second) {
    Route const& item = routes[index];
    if (path.substr(0, item.prefix.size()) != item.prefix) continue;
    if (best == nullptr || best->prefix.size() < item.prefix.size()) best = &item;
  }
  return best;
}

Tenant const* Description::tenant_of(Digest const& key) const {
  std::map<Digest, std::size_t>::const_iterator const position = tenants_by_key.find(key);
  return position == tenants_by_key.end() ? nullptr : &tenants[position->second];
}

Tenant const* Description::tenant(std::string_view name) const {
  for (Tenant const& item : tenants)
    if (item.name == name) return &item;
  return nullptr;
}

std::int64_t Description::rank_of(Route const& route, Tenant const* tenant) const {
  if (tenant == nullptr) return std::min(route.rank, rank_most);
  std::size_t const steps = std::max<std::size_t>(1, route_ranks.size());
  std::size_t const of_route = index_in(route_ranks, route.rank);
  std::size_t const of_tenant = index_in(tenant_ranks, tenant->rank);
  std::size_t const all = steps * std::max<std::size_t>(1, tenant_ranks.size());
  std::size_t const place = of_tenant * steps + of_route;
  // With more ranks than there are numbers, neighbours share one.
  std::size_t const numbers = static_cast<std::size_t>(rank_most) + 1;
  return static_cast<std::int64_t>(all <= numbers ? place : place * numbers / all);
}

Lane const* Description::lane(std::string_view name) const {
  for (Lane const& item : lanes)
    if (item.name == name) return &item;
  return nullptr;
}

Result<std::shared_ptr<Description const>> read_description(std::string_view text) {
  if (text.size() > description_limit)
    return fail(ErrorCode::too_large, "a description has at most " + std::to_string(description_limit) + " bytes");
  simdjson::dom::parser parser;
  Element root;
  simdjson::error_code const code = parser.parse(simdjson::padded_string(text)).get(root);
  if (code) return fail(ErrorCode::bad_json, simdjson::error_message(code), broken_place(text));

  DescriptionBuilder builder;
  Reader reader;

  std::function<bool(Element const&, std::string const&)> const one_pool = [&](Element const& value,
                                                                               std::string const& path) {
    Pool pool;
    Rules const rules = {
        {"name", [&](Element const& v, std::string const& p) { return reader.name(v, p, pool.name); }},
        {"model", [&](Element const& v, std::string const& p) { return reader.text(v, p, pool.model); }},
        {"slots", [&](Element const& v, std::string const& p) { return reader.number(v, p, 1, 100000, pool.slots); }},
        {"cold_per_second",
         [&](Element const& v, std::string const& p) { return reader.number(v, p, 1, 100000, pool.cold); }},
        {"cold_ms",
         [&](Element const& v, std::string const& p) { return reader.span(v, p, 1000, 600000, pool.cold_span); }},
        {"cache_blocks",
         [&](Element const& v, std::string const& p) { return reader.number(v, p, 0, 10000000, pool.cache_blocks); }},
        {"cache_s",
         [&](Element const& v, std::string const& p) { return reader.span(v, p, 1000000, 864000, pool.cache_age); }},
        {"block_us",
         [&](Element const& v, std::string const& p) { return reader.span(v, p, 1, 10000000, pool.block_cost); }},
        {"service_ms",
         [&](Element const& v, std::string const& p) { return reader.span(v, p, 1000, 3600000, pool.service); }},
        {"connections",
         [&](Element const& v, std::string const& p) { return reader.number(v, p, 0, 1000000, pool.connections); }},
        {"cache_tokens",
         [&](Element const& v, std::string const& p) {
           return reader.number(v, p, 0, 1000000000000, pool.cache_tokens);
         }},
        {"stride", [&](Element const& v, std::string const& p) { return reader.number(v, p, 1, 100000, pool.stride); }},
    };
    if (!reader.object(value, path, rules, {"name", "model"})) return false;
    return reader.added(builder.add(std::move(pool), path));
  };
  std::function<bool(Element const&, std::string const&)> const one_lane = [&](Element const& value,
                                                                               std::string const& path) {
    Lane lane;
    Rules const rules = {
        {"name", [&](Element const& v, std::string const& p) { return reader.name(v, p, lane.name); }},
        {"binding",
         [&](Element const& v, std::string const& p) {
           std::string code;
           if (!reader.text(v, p, code)) return false;
           Result<Binding> made = compile_binding(code);
           if (!made) return reader.wrong(p + ": " + made.error().where, made.error().what, ErrorCode::bad_language);
           lane.binding = std::move(made.value());
           return true;
         }},
        {"policy",
         [&](Element const& v, std::string const& p) {
           std::string code;
           if (!reader.text(v, p, code)) return false;
           Result<Policy> made = compile_policy(code);
           if (!made) return reader.wrong(p + ": " + made.error().where, made.error().what, ErrorCode::bad_language);
           lane.policy = made.value();
           return true;
         }},
    };
    if (!reader.object(value, path, rules, {"name", "binding"})) return false;
    return reader.added(builder.add(std::move(lane), path));
  };
  std::function<bool(Element const&, std::string const&)> const one_route = [&](Element const& value,
                                                                                std::string const& path) {
    Route route;
    std::function<bool(Element const&, std::string const&)> const one_share = [&](Element const& item,
                                                                                  std::string const& position) {
      Route::Share share;
      Rules const rules = {
          {"pool", [&](Element const& v, std::string const& p) { return reader.text(v, p, share.pool); }},
          {"weight",
           [&](Element const& v, std::string const& p) { return reader.number(v, p, 0, 1000000, share.weight); }},
      };
      if (!reader.object(item, position, rules, {"pool"})) return false;
      if (!builder.has_pool(share.pool)) return reader.wrong(position, "there is no pool '" + share.pool + "'");
      route.shares.push_back(std::move(share));
      return true;
    };
    Rules const rules = {
        {"name", [&](Element const& v, std::string const& p) { return reader.text(v, p, route.name); }},
        {"host", [&](Element const& v, std::string const& p) { return reader.text(v, p, route.host); }},
        {"prefix", [&](Element const& v, std::string const& p) { return reader.text(v, p, route.prefix); }},
        {"shares", [&](Element const& v, std::string const& p) { return reader.list(v, p, one_share); }},
        {"repeatable", [&](Element const& v, std::string const& p) { return reader.truth(v, p, route.repeatable); }},
        {"streams", [&](Element const& v, std::string const& p) { return reader.truth(v, p, route.streams); }},
        {"resumable", [&](Element const& v, std::string const& p) { return reader.truth(v, p, route.resumable); }},
        {"hold_ms",
         [&](Element const& v, std::string const& p) { return reader.span(v, p, 1000, 86400000, route.hold); }},
        {"aim_ms", [&](Element const& v,
                       std::string const& p) { return reader.span(v, p, 1000, 86400000, route.latency_target); }},
        {"gap_ms",
         [&](Element const& v, std::string const& p) { return reader.span(v, p, 1000, 86400000, route.gap); }},
        {"rank", [&](Element const& v, std::string const& p) { return reader.number(v, p, 0, 1000, route.rank); }},
        {"attempts",
         [&](Element const& v, std::string const& p) { return reader.number(v, p, 1, 1000, route.attempts); }},
        {"public", [&](Element const& v, std::string const& p) { return reader.truth(v, p, route.is_public); }},
    };
    if (!reader.object(value, path, rules, {"name", "host", "prefix", "shares"})) return false;
    return reader.added(builder.add(std::move(route), path));
  };
  std::function<bool(Element const&, std::string const&)> const one_tenant = [&](Element const& value,
                                                                                 std::string const& path) {
    Tenant tenant;
    Rules const rules = {
        {"name", [&](Element const& v, std::string const& p) { return reader.text(v, p, tenant.name); }},
        {"keys",
         [&](Element const& v, std::string const& p) {
           return reader.list(v, p, [&](Element const& item, std::string const& position) {
             std::string key;
             if (!reader.text(item, position, key)) return false;
             tenant.keys.push_back(key_digest_of(key));
             return true;
           });
         }},
        {"rank", [&](Element const& v, std::string const& p) { return reader.number(v, p, 0, 1000, tenant.rank); }},
        {"counts", [&](Element const& v, std::string const& p) { return reader.unit(v, p, tenant.unit); }},
        {"plain_tokens",
         [&](Element const& v, std::string const& p) {
           return reader.number(v, p, 0, quota_number_most, tenant.plain_tokens);
         }},
        {"rate", [&](Element const& v,
                     std::string const& p) { return reader.number(v, p, 0, quota_number_most, tenant.rate); }},
        {"burst", [&](Element const& v,
                      std::string const& p) { return reader.number(v, p, 0, quota_number_most, tenant.burst); }},
    };
    if (!reader.object(value, path, rules, {"name", "keys"})) return false;
    return reader.added(builder.add(std::move(tenant), path));
  };
  CallLimits call_limits;
  std::function<bool(Element const&, std::string const&)> const limits = [&](Element const& value,
                                                                             std::string const& path) {
    Rules const rules = {
        {"head_bytes", [&](Element const& v,
                           std::string const& p) { return reader.number(v, p, 1, 1 << 30, call_limits.head_bytes); }},
        {"body_bytes", [&](Element const& v,
                           std::string const& p) { return reader.number(v, p, 0, 1 << 30, call_limits.body_bytes); }},
        {"head_ms", [&](Element const& v,
                        std::string const& p) { return reader.span(v, p, 1000, 86400000, call_limits.head_time); }},
        {"idle_ms",
         [&](Element const& v, std::string const& p) { return reader.span(v, p, 1000, 86400000, call_limits.idle); }},
    };
    return reader.object(value, path, rules, {});
  };
  std::int64_t format = 0;
  std::string source;
  Micros locality_cost = Description().locality_cost;
  Rules const rules = {
      {"limits", limits},
      {"source", [&](Element const& v, std::string const& p) { return reader.text(v, p, source); }},
      {"routes", [&](Element const& v, std::string const& p) { return reader.list(v, p, one_route); }},
      {"tenants",
       [&](Element const& v, std::string const& p) {
         builder.require_keys();
         return reader.list(v, p, one_tenant);
       }},
      {"format", [&](Element const& v, std::string const& p) { return reader.number(v, p, 1, 1, format); }},
      {"locality_ms",
       [&](Element const& v, std::string const& p) { return reader.span(v, p, 1000, 600000, locality_cost); }},
      {"pools", [&](Element const& v, std::string const& p) { return reader.list(v, p, one_pool); }},
      {"lanes", [&](Element const& v, std::string const& p) { return reader.list(v, p, one_lane); }},
  };
  if (!reader.object(root, "$", rules, {"format", "pools", "lanes"})) return boost::outcome_v2::failure(reader.error);
  builder.limits(call_limits);
  builder.source(std::move(source));
  builder.locality_cost(locality_cost);
  return builder.finish();
}

}  // namespace pipit
