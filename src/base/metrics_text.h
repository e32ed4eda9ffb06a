// The text of a metrics page, one row after the other, in Prometheus' form.
#pragma once
#include <cstdint>
#include <map>
#include <string>

namespace pipit {

class MetricsText {
 public:
  void counter(char const* name, std::uint64_t value) { row(name, "counter", value); }
  void gauge(char const* name, std::uint64_t value) { row(name, "gauge", value); }
  // One name with a value for each value of a label.
  void counters(char const* name, char const* label, std::map<std::string, std::uint64_t> const& values);
  void gauges(char const* name, char const* label, std::map<std::string, std::uint64_t> const& values);
  // Violations of each invariant, those that hold as well: a missing row would say nothing.
  void invariants();
  std::string take() { return std::move(out_); }

 private:
  void row(char const* name, char const* type, std::uint64_t value);
  void labelled(char const* name, char const* type, char const* label,
                std::map<std::string, std::uint64_t> const& values);
  std::string out_;
};

}  // namespace pipit
