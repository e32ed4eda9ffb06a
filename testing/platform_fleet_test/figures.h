// What an experiment has measured, as rows that can be printed, kept in a file and compared.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/micros.h"

namespace pipit::platform_fleet {

struct Figures {
  std::vector<std::pair<std::string, double>> rows;
  std::vector<std::pair<std::string, std::string>> settings;  // shape, troubles, ...
  std::vector<std::string> broken;
  void put(std::string const& name, double value) { rows.emplace_back(name, value); }
  std::string print() const;
  std::string json() const;
  static Result<Figures> read(std::string const& path);
};

// The rows in which two experiments differ.
std::string compare(Figures const& a, Figures const& b);
// The value that this part of them does not exceed; 0 for none.
double quantile(std::vector<Micros>& values, double part);

}  // namespace pipit::platform_fleet
