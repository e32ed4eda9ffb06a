// The text of a metrics page, one row after the other, in Prometheus' form.
#pragma once
#include <cstdint>
#include <map>
#include <string>

namespace pipit {

// Names are in Prometheus' form; each is to be added once.
class MetricsText {
 public:
  // A number that only rises.
  void counter(char const* name, std::uint64_t value) { row(name, "counter", value); }
  // A number that rises and falls.
  void gauge(char const* name, std::uint64_t value) { row(name, "gauge", value); }
  // One name with a value for each value of a label.
  void counters(char const* name, char const* label, std::map<std::string, std::uint64_t> const& values);
  void gauges(char const* name, char const* label, std::map<std::string, std::uint64_t> const& values);
  // Violations of each invariant, also those without any: a missing row would say nothing.
  void invariants();
  // The finished page; the object is not to be used after it.
  std::string take() { return std::move(out_); }

 private:
  void row(char const* name, char const* type, std::uint64_t value);
  void labelled(char const* name, char const* type, char const* label,
                std::map<std::string, std::uint64_t> const& values);
  std::string out_;
};

}  // namespace pipit
