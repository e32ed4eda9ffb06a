// Measurements of a test run, as rows that can be printed, stored in a file and compared.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/micros.h"

namespace pipit::platform_fleet {

// The report of a test run.
struct Figures {
  std::vector<std::pair<std::string, double>> rows;
  std::vector<std::pair<std::string, std::string>> settings;  // shape, faults and other parameters of the run
  std::vector<std::string> broken;                            // details of violated promises
  void put(std::string const& name, double value) { rows.emplace_back(name, value); }
  // The report as lines of text.
  std::string print() const;
  // The report as JSON, as read() parses it.
  std::string json() const;
  // Reads a report from a file, without `broken`. Fails with bad_settings if the file is not a report.
  static Result<Figures> read(std::string const& path);
};

// The rows in which two reports differ, with the relative change.
std::string compare(Figures const& a, Figures const& b);
// The quantile `part` (0 to 1) of the values; 0 if there are none. Reorders the values.
double quantile(std::vector<Micros>& values, double part);

}  // namespace pipit::platform_fleet
