#include "config/description/description.h"

#include <simdjson.h>

#include <algorithm>
#include <cctype>
#include <functional>
#include <map>
#include <set>

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
  char const* spot = nullptr;
  if (doc.current_location().get(spot) || spot == nullptr) return place_of(text, text.size());
  std::ptrdiff_t const off = spot - pad.data();
  if (off < 0 || static_cast<std::size_t>(off) > text.size()) return place_of(text, text.size());
  return place_of(text, static_cast<std::size_t>(off));
}

class Reader {
 public:
  Fault fault;

  bool wrong(std::string const& path, std::string why, Kind kind = Kind::bad_description) {
    fault = Fault{kind, std::move(why), path};
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

Route const* Description::route(std::string_view host, std::string_view path) const {
  Route const* best = nullptr;
  for (Route const& item : routes) {
    if (path.substr(0, item.prefix.size()) != item.prefix) continue;
    if (best != nullptr && best->prefix.size() >= item.prefix.size()) continue;
    if (item.host.size() != host.size() || !std::equal(host.begin(), host.end(), item.host.begin(), [](char a, char b) {
          return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
        }))
      continue;
    best = &item;
  }
  return best;
}

Lane const* Description::lane(std::string_view name) const {
  for (Lane const& item : lanes)
    if (item.name == name) return &item;
  return nullptr;
}

Result<std::shared_ptr<Description const>> read_description(std::string_view text) {
  if (text.size() > description_limit)
    return fail(Kind::too_large, "a description has at most " + std::to_string(description_limit) + " bytes");
  simdjson::dom::parser parser;
  Element root;
  simdjson::error_code const code = parser.parse(simdjson::padded_string(text)).get(root);
  if (code) return fail(Kind::bad_json, simdjson::error_message(code), broken_place(text));

  std::shared_ptr<Description> const out = std::make_shared<Description>();
  Reader reader;
  std::set<std::string> pool_names;
  std::set<std::string> lane_names;

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
    if (!pool_names.insert(pool.name).second)
      return reader.wrong(path + ".name", "the pool '" + pool.name + "' stands twice");
    out->pools.push_back(std::move(pool));
    return true;
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
           if (!made) return reader.wrong(p + ": " + made.error().place, made.error().why, Kind::bad_language);
           lane.binding = std::move(made.value());
           return true;
         }},
        {"policy",
         [&](Element const& v, std::string const& p) {
           std::string code;
           if (!reader.text(v, p, code)) return false;
           Result<Policy> made = compile_policy(code);
           if (!made) return reader.wrong(p + ": " + made.error().place, made.error().why, Kind::bad_language);
           lane.policy = made.value();
           return true;
         }},
    };
    if (!reader.object(value, path, rules, {"name", "binding"})) return false;
    if (!lane_names.insert(lane.name).second)
      return reader.wrong(path + ".name", "the lane '" + lane.name + "' stands twice");
    out->lanes.push_back(std::move(lane));
    return true;
  };
  std::set<std::string> route_names;
  std::set<std::string> route_spots;
  std::function<bool(Element const&, std::string const&)> const one_route = [&](Element const& value,
                                                                                std::string const& path) {
    Route route;
    std::function<bool(Element const&, std::string const&)> const one_share = [&](Element const& item,
                                                                                  std::string const& spot) {
      Route::Share share;
      Rules const rules = {
          {"pool", [&](Element const& v, std::string const& p) { return reader.text(v, p, share.pool); }},
          {"weight",
           [&](Element const& v, std::string const& p) { return reader.number(v, p, 0, 1000000, share.weight); }},
      };
      if (!reader.object(item, spot, rules, {"pool"})) return false;
      if (!pool_names.count(share.pool)) return reader.wrong(spot, "there is no pool '" + share.pool + "'");
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
        {"aim_ms",
         [&](Element const& v, std::string const& p) { return reader.span(v, p, 1000, 86400000, route.aim); }},
        {"gap_ms",
         [&](Element const& v, std::string const& p) { return reader.span(v, p, 1000, 86400000, route.gap); }},
        {"rank", [&](Element const& v, std::string const& p) { return reader.number(v, p, 0, 1000, route.rank); }},
        {"attempts",
         [&](Element const& v, std::string const& p) { return reader.number(v, p, 1, 1000, route.attempts); }},
    };
    if (!reader.object(value, path, rules, {"name", "host", "prefix", "shares"})) return false;
    if (route.prefix.front() != '/' || route.prefix.back() != '/')
      return reader.wrong(path + ".prefix", "a prefix begins and ends with a slash");
    std::int64_t sum = 0;
    for (Route::Share const& share : route.shares) sum += share.weight;
    if (sum <= 0) return reader.wrong(path + ".shares", "the weights add up to 0");
    if (route.hold <= 0)
      return reader.wrong(path + ".hold_ms", "a request that may be held for no time is never served");
    if (!route_names.insert(route.name).second)
      return reader.wrong(path + ".name", "the route '" + route.name + "' stands twice");
    std::string spot = route.host;
    for (char& c : spot) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    if (!route_spots.insert(spot + " " + route.prefix).second)
      return reader.wrong(path, "two routes share host and prefix");
    out->routes.push_back(std::move(route));
    return true;
  };
  std::function<bool(Element const&, std::string const&)> const limits = [&](Element const& value,
                                                                             std::string const& path) {
    Rules const rules = {
        {"head_bytes", [&](Element const& v,
                           std::string const& p) { return reader.number(v, p, 1, 1 << 30, out->limits.head_bytes); }},
        {"body_bytes", [&](Element const& v,
                           std::string const& p) { return reader.number(v, p, 0, 1 << 30, out->limits.body_bytes); }},
        {"head_ms", [&](Element const& v,
                        std::string const& p) { return reader.span(v, p, 1000, 86400000, out->limits.head_time); }},
        {"idle_ms",
         [&](Element const& v, std::string const& p) { return reader.span(v, p, 1000, 86400000, out->limits.idle); }},
    };
    return reader.object(value, path, rules, {});
  };
  std::int64_t format = 0;
  Rules const rules = {
      {"limits", limits},
      {"source", [&](Element const& v, std::string const& p) { return reader.text(v, p, out->source); }},
      {"routes", [&](Element const& v, std::string const& p) { return reader.list(v, p, one_route); }},
      {"format", [&](Element const& v, std::string const& p) { return reader.number(v, p, 1, 1, format); }},
      {"locality_ms",
       [&](Element const& v, std::string const& p) { return reader.span(v, p, 1000, 600000, out->locality_cost); }},
      {"pools", [&](Element const& v, std::string const& p) { return reader.list(v, p, one_pool); }},
      {"lanes", [&](Element const& v, std::string const& p) { return reader.list(v, p, one_lane); }},
  };
  if (!reader.object(root, "$", rules, {"format", "pools", "lanes"})) return boost::outcome_v2::failure(reader.fault);
  // Names that lead nowhere, and lanes whose pools serve different models.
  for (std::size_t i = 0; i < out->lanes.size(); ++i) {
    std::string const path = "$.lanes[" + std::to_string(i) + "].binding";
    std::string model;
    for (Binding::Choice const& choice : out->lanes[i].binding.pools) {
      Pool const* const pool = out->pool(choice.pool);
      if (pool == nullptr) return fail(Kind::bad_description, "there is no pool '" + choice.pool + "'", path);
      if (!model.empty() && model != pool->model)
        return fail(Kind::bad_description, "the lane's pools serve different models", path);
      model = pool->model;
    }
  }
  return std::shared_ptr<Description const>(out);
}

}  // namespace pipit
