#include "base/metrics_text.h"

#include "base/invariants.h"

namespace pipit {

void MetricsText::row(char const* name, char const* type, std::uint64_t value) {
  out_ += std::string("# TYPE ") + name + " " + type + "\n" + name + " " + std::to_string(value) + "\n";
}

void MetricsText::labelled(char const* name, char const* type, char const* label,
                           std::map<std::string, std::uint64_t> const& values) {
  out_ += std::string("# TYPE ") + name + " " + type + "\n";
  for (std::pair<std::string const, std::uint64_t> const& item : values)
    out_ += std::string(name) + "{" + label + "=\"" + item.first + "\"} " + std::to_string(item.second) + "\n";
}

void MetricsText::counters(char const* name, char const* label, std::map<std::string, std::uint64_t> const& values) {
  labelled(name, "counter", label, values);
}

void MetricsText::gauges(char const* name, char const* label, std::map<std::string, std::uint64_t> const& values) {
  labelled(name, "gauge", label, values);
}

void MetricsText::invariants() {
  std::size_t count = 0;
  InvariantRow const* const rows = invariant_rows(count);
  std::map<std::string, std::uint64_t> values;
  for (std::size_t i = 0; i < count; ++i) values[rows[i].name] = violation_count(static_cast<Invariant>(i));
  counters("pipit_invariant_violations_total", "invariant", values);
}

}  // namespace pipit
