#include "testing/platform_fleet_test/faults.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>

namespace pipit::platform_fleet {

namespace {
struct FaultRow {
  char const* name;
  char const* text;
  int count;
  double share;
  double seconds;
  double x;
  double gap;
};
FaultRow const rows[] = {
#define FAULT(name, text, count, share, seconds, x, gap) {#name, text, count, share, seconds, x, gap},
    PLATFORM_FLEET_FAULTS(FAULT)
#undef FAULT
};

std::string trimmed(std::string const& text) {
  std::size_t const a = text.find_first_not_of(" \t\n");
  std::size_t const b = text.find_last_not_of(" \t\n");
  return a == std::string::npos ? "" : text.substr(a, b - a + 1);
}

std::vector<std::string> split(std::string const& text, char separator) {
  std::vector<std::string> out;
  std::size_t at = 0;
  while (at <= text.size()) {
    std::size_t const end = std::min(text.find(separator, at), text.size());
    if (std::string const token = trimmed(text.substr(at, end - at)); !token.empty()) out.push_back(token);
    at = end + 1;
  }
  return out;
}

bool parse_number(std::string const& text, double& out) {
  char* end = nullptr;
  out = std::strtod(text.c_str(), &end);
  return !text.empty() && *end == '\0' && out >= 0 && out <= 3600;
}

Micros to_micros(double seconds) { return static_cast<Micros>(seconds * 1e6); }
}  // namespace

bool needs_relay(Fault::Kind kind) { return kind >= Fault::Kind::cut; }

char const* fault_name(Fault::Kind kind) { return rows[static_cast<std::size_t>(kind)].name; }

std::string fault_table() {
  std::string out;
  for (FaultRow const& row : rows)
    out += std::string("  ") + row.name + std::string(10 - std::string(row.name).size(), ' ') + row.text + "\n";
  return out;
}

Result<std::vector<Fault>> parse_faults(std::string const& text) {
  std::vector<Fault> out;
  for (std::string const& item : split(text, ';')) {
    std::size_t const at = item.find('@');
    std::size_t const colon = std::min(item.find(':'), item.size());
    double when = 0;
    if (at == std::string::npos || at > colon || !parse_number(trimmed(item.substr(at + 1, colon - at - 1)), when))
      return fail(ErrorCode::bad_settings, "'" + item + "' is not of the form KIND@SECONDS:KEY=VALUE,..");
    std::string const name = trimmed(item.substr(0, at));
    FaultRow const* const row =
        std::find_if(std::begin(rows), std::end(rows), [&name](FaultRow const& r) { return name == r.name; });
    if (row == std::end(rows)) return fail(ErrorCode::bad_settings, "there is no trouble '" + name + "'");
    Fault fault;
    fault.kind = static_cast<Fault::Kind>(row - rows);
    fault.at = to_micros(when);
    fault.count = row->count;
    fault.share = row->share;
    fault.span = to_micros(row->seconds);
    fault.x = row->x;
    fault.gap = to_micros(row->gap);
    for (std::string const& pair : split(colon < item.size() ? item.substr(colon + 1) : "", ',')) {
      std::size_t const equals = pair.find('=');
      std::string const key = trimmed(pair.substr(0, equals));
      std::string const value = equals == std::string::npos ? "" : trimmed(pair.substr(equals + 1));
      double parsed = 0;
      if (key == "on") {
        fault.on = value;
        continue;
      }
      if (key != "count" && key != "share" && key != "for" && key != "x" && key != "gap")
        return fail(ErrorCode::bad_settings, "'" + name + "' has no key '" + key + "'");
      if (!parse_number(value, parsed)) return fail(ErrorCode::bad_settings, "'" + pair + "' is not a number");
      if (key == "count") fault.count = static_cast<int>(parsed);
      if (key == "share") {
        fault.share = std::min(1.0, parsed);
        fault.count = 0;
      }
      if (key == "for") fault.span = to_micros(parsed);
      if (key == "x") fault.x = parsed;
      if (key == "gap") fault.gap = to_micros(parsed);
    }
    out.push_back(fault);
  }
  std::stable_sort(out.begin(), out.end(), [](Fault const& a, Fault const& b) { return a.at < b.at; });
  return out;
}

}  // namespace pipit::platform_fleet
