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

bool good_name(std::string const& text) {
  if (text.empty() || text.size() > 64) return false;
  for (char const c : text)
    if (!((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' ||
          c == '.'))
      return false;
  return true;
}
}  // namespace

Result<Settings> read_settings(int argc, char const* const* argv, bool replica) {
  Settings out;
  std::string seeds;
  std::string models;
  std::string initial_members;
  std::int64_t grace = 2;
  std::int64_t drain = 10;
  std::int64_t body = 4096;
  options::options_description keys(
      replica ? "pipitspool-config-store: a keeper of the description. Keys, as flags or in the settings file"
              : "pipitspool-router: a router node. Keys, as flags or in the settings file");
  keys.add_options()("name", options::value(&out.name), "the node's name, unique in the cluster")(
      "cluster", options::value(&out.cluster)->default_value("pipit"), "the cluster's name")(
      "zone", options::value(&out.zone), "the zone it stands in")(
      "mesh", options::value(&out.mesh), "IP:port on which peers reach it")("http", options::value(&out.http),
                                                                            "IP:port for callers and operators")(
      "seeds", options::value(&seeds), "up to three IP:port of other nodes, with commas between")(
      "log", options::value(&out.log), "a file for the log; standard output without it")(
      "grace", options::value(&grace)->default_value(2),
      "seconds after SIGTERM in which /ready says no and requests are still taken")(
      "drain", options::value(&drain)->default_value(10), "seconds that a planned stop gives work in flight")(
      "body", options::value(&body)->default_value(4096), "the largest body of a request, in KiB")(
      "faults", options::value(&out.faults)->default_value(false), "allow fault points to be armed (tests only)");
  if (replica) {
    keys.add_options()("data", options::value(&out.data), "the data folder")(
        "founders", options::value(&initial_members), "names of the first keepers, with commas between");
  } else {
    keys.add_options()("platform", options::value(&out.platform), "IP:port of the platform's list of workers")(
        "models", options::value(&models), "models that it serves, with commas between; all without it");
  }
  options::options_description flags;
  flags.add(keys);
  flags.add_options()("settings", options::value(&out.file), "the settings file")("help", "this text");
  options::variables_map map;
  try {
    options::store(options::parse_command_line(argc, argv, flags), map);
    if (map.count("help")) {
      out.help = true;
      std::stringstream text;
      text << keys << "  --settings arg        the settings file\n";
      out.help_text = text.str();
      return out;
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
  out.seeds = split(seeds);
  out.models = split(models);
  out.initial_members = split(initial_members);
  if (!good_name(out.name))
    return fail(ErrorCode::bad_settings, "name: letters, digits, '-', '_' and '.', at most 64, are needed");
  if (!good_name(out.zone))
    return fail(ErrorCode::bad_settings, "zone: letters, digits, '-', '_' and '.', at most 64, are needed");
  if (!good_name(out.cluster))
    return fail(ErrorCode::bad_settings, "cluster: letters, digits, '-', '_' and '.', at most 64, are needed");
  struct Row {
    char const* key;
    std::string const& value;
    bool needed;
  };
  for (Row const& row :
       {Row{"mesh", out.mesh, true}, Row{"http", out.http, true}, Row{"platform", out.platform, !replica}}) {
    if (row.value.empty() && !row.needed) continue;
    if (!good_address(row.value))
      return fail(ErrorCode::bad_settings,
                  std::string(row.key) + ": '" + row.value + "' is not an IP number with a port from 1 to 65535");
  }
  if (out.seeds.size() > 3) return fail(ErrorCode::bad_settings, "seeds: at most three are taken");
  for (std::string const& seed : out.seeds)
    if (!good_address(seed))
      return fail(ErrorCode::bad_settings, "seeds: '" + seed + "' is not an IP number with a port from 1 to 65535");
  if (grace < 0 || grace > 600) return fail(ErrorCode::bad_settings, "grace: from 0 to 600 seconds");
  if (drain < 0 || drain > 600) return fail(ErrorCode::bad_settings, "drain: from 0 to 600 seconds");
  if (body < 1 || body > 65536) return fail(ErrorCode::bad_settings, "body: from 1 to 65536 KiB");
  out.grace = seconds(grace);
  out.drain = seconds(drain);
  out.body = static_cast<std::size_t>(body) << 10;
  if (replica) {
    struct stat info;
    if (out.data.empty()) return fail(ErrorCode::bad_settings, "data: the data folder is needed");
    if (::stat(out.data.c_str(), &info) != 0 && ::mkdir(out.data.c_str(), 0755) != 0)
      return fail(ErrorCode::bad_settings, "data: the folder " + out.data + " is not there and cannot be made");
    if (::access(out.data.c_str(), W_OK | X_OK) != 0 || ::stat(out.data.c_str(), &info) != 0 || !S_ISDIR(info.st_mode))
      return fail(ErrorCode::bad_settings, "data: the folder " + out.data + " cannot be written");
    std::set<std::string> const unique(out.initial_members.begin(), out.initial_members.end());
    if (unique.size() != out.initial_members.size())
      return fail(ErrorCode::bad_settings, "founders: a name stands twice");
  }
  return out;
}

}  // namespace pipit
