#include "testing/platform_fleet_test/figures.h"

#include <simdjson.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

#include "base/json_writer.h"

namespace pipit::platform_fleet {

namespace {
std::string number(double value) {
  char text[40];
  bool const is_integer = std::fabs(value - std::round(value)) < 1e-9 && std::fabs(value) < 1e15;
  std::snprintf(text, sizeof text, is_integer ? "%.0f" : "%.4f", value);
  return text;
}
}  // namespace

std::string Figures::print() const {
  std::string out;
  for (std::pair<std::string, std::string> const& setting : settings)
    out += setting.first + ": " + setting.second + "\n";
  for (std::pair<std::string, double> const& row : rows) {
    char text[160];
    std::snprintf(text, sizeof text, "%-42s %s\n", row.first.c_str(), number(row.second).c_str());
    out += text;
  }
  for (std::string const& line : broken) out += "BROKEN " + line + "\n";
  return out;
}

std::string Figures::json() const {
  JsonWriter json;
  json.begin_object().key("words").begin_object();
  for (std::pair<std::string, std::string> const& setting : settings) json.key(setting.first).text(setting.second);
  json.end_object().key("figures").begin_object();
  for (std::pair<std::string, double> const& row : rows) json.key(row.first).raw(number(row.second));
  json.end_object().key("broken").begin_list();
  for (std::string const& line : broken) json.text(line);
  json.end_list().end_object();
  return json.take() + "\n";
}

Result<Figures> Figures::read(std::string const& path) {
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  simdjson::dom::object figures;
  if (parser.load(path).get(root) || root["figures"].get_object().get(figures))
    return fail(ErrorCode::bad_settings, "'" + path + "' is not a report of a fleet test run");
  Figures out;
  for (simdjson::dom::key_value_pair const& field : figures) {
    double value = 0;
    if (!field.value.get_double().get(value)) out.put(std::string(field.key), value);
  }
  simdjson::dom::object settings;
  if (!root["words"].get_object().get(settings))
    for (simdjson::dom::key_value_pair const& field : settings) {
      std::string_view text;
      if (!field.value.get_string().get(text)) out.settings.emplace_back(std::string(field.key), std::string(text));
    }
  return out;
}

std::string compare(Figures const& a, Figures const& b) {
  std::string out;
  char text[200];
  std::map<std::string, double> right(b.rows.begin(), b.rows.end());
  std::map<std::string, double> const left(a.rows.begin(), a.rows.end());
  std::map<std::string, std::string> const settings(b.settings.begin(), b.settings.end());
  for (std::pair<std::string, std::string> const& setting : a.settings) {
    std::map<std::string, std::string>::const_iterator const other = settings.find(setting.first);
    if (other != settings.end() && other->second != setting.second)
      out += setting.first + ": " + setting.second + " | " + other->second + "\n";
  }
  for (std::pair<std::string, double> const& row : a.rows) {
    double const other = right.count(row.first) > 0 ? right[row.first] : 0;
    right.erase(row.first);
    if (std::fabs(row.second - other) < 1e-9) continue;
    double const part = row.second == 0 ? 0 : (other - row.second) / std::fabs(row.second) * 100;
    std::snprintf(text, sizeof text, "%-42s %14s %14s %+9.1f%%\n", row.first.c_str(), number(row.second).c_str(),
                  number(other).c_str(), part);
    out += text;
  }
  for (std::pair<std::string, double> const& row : b.rows) {
    if (left.count(row.first) > 0 || row.second == 0) continue;
    std::snprintf(text, sizeof text, "%-42s %14s %14s\n", row.first.c_str(), "-", number(row.second).c_str());
    out += text;
  }
  return out.empty() ? "no difference\n" : out;
}

double quantile(std::vector<Micros>& values, double part) {
  if (values.empty()) return 0;
  std::size_t const at =
      std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return static_cast<double>(values[at]);
}

}  // namespace pipit::platform_fleet
