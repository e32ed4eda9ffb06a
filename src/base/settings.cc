#include "base/settings.h"

#include <sys/stat.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "base/ip.h"

namespace pipit {

namespace options = boost::program_options;

namespace {
constexpr std::size_t name_limit = 64;  // characters
constexpr std::size_t seed_limit = 3;
constexpr std::int64_t span_limit = 600;    // seconds
constexpr std::int64_t body_limit = 65536;  // KiB
constexpr std::int64_t min_memory_mb = 32;
constexpr std::int64_t max_memory_mb = 1000000000;
constexpr std::int64_t min_descriptors = 256;
constexpr std::int64_t max_descriptors = 1000000000;
constexpr std::size_t bytes_per_megabyte = 1000000;

// Raw values that are converted after reading: lists with commas between, seconds, KiB.
struct RawValues {
  std::string seeds;
  std::string models;
  std::string initial_members;
  std::int64_t grace = 2;
  std::int64_t drain = 10;
  std::int64_t body = 4096;
  std::int64_t memory = 1000;
  std::int64_t descriptors = 0;
};

// Splits a list at its commas and trims spaces; empty items are left out.
std::vector<std::string> split(std::string const& text) {
  std::vector<std::string> out;
  std::stringstream lines(text);
  std::string item;
  while (std::getline(lines, item, ',')) {
    while (!item.empty() && item.front() == ' ') item.erase(0, 1);
    while (!item.empty() && item.back() == ' ') item.pop_back();
    if (!item.empty()) out.push_back(item);
  }
  return out;
}

// Returns whether a text is a valid name of a node, zone or cluster.
bool good_name(std::string const& text) {
  if (text.empty() || text.size() > name_limit) return false;
  for (char const c : text)
    if (!((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' ||
          c == '.'))
      return false;
  return true;
}
// Declares the keys of one program; parsing writes their values into 'settings' and 'raw'.
options::options_description describe_keys(Settings& settings, RawValues& raw, bool replica) {
  options::options_description keys(
      replica ? "pipitspool-config-store: a replica of the configuration. Keys, as flags or in the settings file"
              : "pipitspool-router: a router node. Keys, as flags or in the settings file");
  keys.add_options()("name", options::value(&settings.name), "the node's name, unique in the cluster")(
      "cluster", options::value(&settings.cluster)->default_value("pipit"), "the cluster's name")(
      "zone", options::value(&settings.zone), "the zone of the node")("mesh", options::value(&settings.mesh),
                                                                      "IP:port for connections from peers")(
      "http", options::value(&settings.http), "IP:port for clients and operators")(
      "seeds", options::value(&raw.seeds), "up to three IP:port of other nodes, with commas between")(
      "log", options::value(&settings.log), "the log file; default: standard output")(
      "grace", options::value(&raw.grace)->default_value(2),
      "seconds after SIGTERM in which /ready says no and requests are still accepted")(
      "drain", options::value(&raw.drain)->default_value(10),
      "seconds that a planned stop allows for requests in flight")(
      "body", options::value(&raw.body)->default_value(4096), "the largest body of a request, in KiB")(
      "memory-mb", options::value(&raw.memory)->default_value(1000), "memory that the process may use, in MB")(
      "descriptors", options::value(&raw.descriptors)->default_value(0),
      "descriptors that the process may open; 0: what the system allows")(
      "faults", options::value(&settings.faults)->default_value(false), "allow fault points to be armed (tests only)");
  if (replica) {
    keys.add_options()("data", options::value(&settings.data_directory), "the data folder")(
        "founders", options::value(&raw.initial_members), "names of the initial replicas, with commas between");
  } else {
    keys.add_options()("platform", options::value(&settings.platform), "IP:port of the platform's worker list")(
        "models", options::value(&raw.models), "models that the router serves, with commas between; default: all");
  }
  return keys;
}

std::string help_text_of(options::options_description const& keys) {
  std::stringstream text;
  text << keys << "  --settings arg        the settings file\n";
  return text.str();
}

// Parses the flags, then the settings file for the keys that no flag sets.
Result<void> parse(int argc, char const* const* argv, options::options_description const& keys, Settings& settings) {
  options::options_description flags;
  flags.add(keys);
  flags.add_options()("settings", options::value(&settings.file), "the settings file")("help", "this text");
  options::variables_map map;
  try {
    options::store(options::parse_command_line(argc, argv, flags), map);
    if (map.count("help")) {
      settings.help = true;
      settings.help_text = help_text_of(keys);
      return boost::outcome_v2::success();
    }
    if (map.count("settings")) {
      std::string const path = map["settings"].as<std::string>();
      std::ifstream file(path);
      if (!file) return fail(ErrorCode::bad_settings, "settings: the file " + path + " cannot be read");
      options::store(options::parse_config_file(file, keys), map);
    }
    options::notify(map);
  } catch (options::error const& bad) {
    return fail(ErrorCode::bad_settings, bad.what());
  }
  return boost::outcome_v2::success();
}

Result<void> check_name(std::string const& key, std::string const& value) {
  if (good_name(value)) return boost::outcome_v2::success();
  return fail(ErrorCode::bad_settings, key + ": letters, digits, '-', '_' and '.' are allowed, 1 to 64 characters");
}

Result<void> check_address(std::string const& key, std::string const& value) {
  if (is_valid_address(value)) return boost::outcome_v2::success();
  return fail(ErrorCode::bad_settings, key + ": '" + value + "' is not an IP number with a port from 1 to 65535");
}

Result<void> check_names(Settings const& settings) {
  if (Result<void> checked = check_name("name", settings.name); !checked) return checked;
  if (Result<void> checked = check_name("zone", settings.zone); !checked) return checked;
  return check_name("cluster", settings.cluster);
}

Result<void> check_addresses(Settings const& settings, bool replica) {
  if (Result<void> checked = check_address("mesh", settings.mesh); !checked) return checked;
  if (Result<void> checked = check_address("http", settings.http); !checked) return checked;
  if (!replica || !settings.platform.empty())
    if (Result<void> checked = check_address("platform", settings.platform); !checked) return checked;
  if (settings.seeds.size() > seed_limit)
    return fail(ErrorCode::bad_settings, "seeds: at most three addresses are allowed");
  for (std::string const& seed : settings.seeds)
    if (Result<void> checked = check_address("seeds", seed); !checked) return checked;
  return boost::outcome_v2::success();
}

// Checks the numbers and converts them to microseconds and bytes.
Result<void> convert_numbers(RawValues const& raw, Settings& settings) {
  if (raw.grace < 0 || raw.grace > span_limit) return fail(ErrorCode::bad_settings, "grace: from 0 to 600 seconds");
  if (raw.drain < 0 || raw.drain > span_limit) return fail(ErrorCode::bad_settings, "drain: from 0 to 600 seconds");
  if (raw.body < 1 || raw.body > body_limit) return fail(ErrorCode::bad_settings, "body: from 1 to 65536 KiB");
  settings.grace = seconds(raw.grace);
  settings.drain = seconds(raw.drain);
  settings.max_body_bytes = static_cast<std::size_t>(raw.body) << 10;
  if (raw.memory < min_memory_mb || raw.memory > max_memory_mb)
    return fail(ErrorCode::bad_settings, "memory-mb: from 32 to 1000000000 MB");
  if (raw.descriptors != 0 && (raw.descriptors < min_descriptors || raw.descriptors > max_descriptors))
    return fail(ErrorCode::bad_settings, "descriptors: 0, or from 256 to 1000000000");
  settings.memory_bytes = static_cast<std::size_t>(raw.memory) * bytes_per_megabyte;
  settings.descriptors = static_cast<std::size_t>(raw.descriptors);
  return boost::outcome_v2::success();
}

// Validates the settings that only a replica has; creates its data folder if it is missing.
Result<void> check_replica(Settings const& settings) {
  std::string const& folder = settings.data_directory;
  struct stat info;
  if (folder.empty()) return fail(ErrorCode::bad_settings, "data: the data folder is missing");
  if (::stat(folder.c_str(), &info) != 0 && ::mkdir(folder.c_str(), 0755) != 0)
    return fail(ErrorCode::bad_settings, "data: the folder " + folder + " does not exist and cannot be created");
  bool const usable = ::access(folder.c_str(), W_OK | X_OK) == 0 && ::stat(folder.c_str(), &info) == 0;
  if (!usable || !S_ISDIR(info.st_mode))
    return fail(ErrorCode::bad_settings, "data: the folder " + folder + " is not a writable folder");
  std::set<std::string> const unique(settings.initial_members.begin(), settings.initial_members.end());
  if (unique.size() != settings.initial_members.size())
    return fail(ErrorCode::bad_settings, "founders: a name is listed twice");
  return boost::outcome_v2::success();
}
}  // namespace

Result<Settings> read_settings(int argc, char const* const* argv, bool replica) {
  Settings settings;
  RawValues raw;
  options::options_description const keys = describe_keys(settings, raw, replica);
  if (Result<void> parsed = parse(argc, argv, keys, settings); !parsed) return parsed.error();
  if (settings.help) return settings;
  settings.seeds = split(raw.seeds);
  settings.models = split(raw.models);
  settings.initial_members = split(raw.initial_members);
  if (Result<void> checked = check_names(settings); !checked) return checked.error();
  if (Result<void> checked = check_addresses(settings, replica); !checked) return checked.error();
  if (Result<void> converted = convert_numbers(raw, settings); !converted) return converted.error();
  if (!replica) return settings;
  if (Result<void> checked = check_replica(settings); !checked) return checked.error();
  return settings;
}

}  // namespace pipit
