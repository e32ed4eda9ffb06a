// Small stand-ins for the scripts of the second review: a process of the node program with its settings file, an HTTP
// client for the control and front addresses, and the record of what was sent and answered. Loopback addresses only.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;
inline Clock::time_point const begin_time = Clock::now();
inline double now_s() { return std::chrono::duration<double>(Clock::now() - begin_time).count(); }
inline void sleep_s(double s) {
  if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}
inline void sleep_until_s(double at) { sleep_s(at - now_s()); }

inline std::mutex record_mutex;
inline std::FILE* record_file = nullptr;
// Writes one line to record.txt, with the time since the start of the script.
inline void record(char const* format, ...) {
  char text[2000];
  va_list list;
  va_start(list, format);
  std::vsnprintf(text, sizeof text, format, list);
  va_end(list);
  std::lock_guard<std::mutex> const lock(record_mutex);
  if (record_file == nullptr) return;
  std::fprintf(record_file, "%8.3f %s\n", now_s(), text);
  std::fflush(record_file);
}

// Opens a listening socket; -1 if the address is in use.
inline int listen_on(std::string const& ip, int port) {
  int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int const one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

// Addresses 127.NET.0.1 .. 127.NET.0.count and ports from `base` on that are free on all of them.
struct Addresses {
  int net = 0;
  int base = 0;
  std::string ip(int n) const { return "127." + std::to_string(net) + ".0." + std::to_string(n); }
  int front() const { return base; }
  int readiness() const { return base + 1; }
  int control() const { return base + 2; }
  int internal() const { return base + 10; }
  std::string internal_range() const { return std::to_string(base + 10) + "," + std::to_string(base + 25); }
};
inline bool is_free(std::string const& ip, int port) {
  int const fd = listen_on(ip, port);
  if (fd < 0) return false;
  ::close(fd);
  return true;
}
inline Addresses free_addresses(int count) {
  std::mt19937 random(std::random_device{}());
  for (int tries = 0; tries < 200; ++tries) {
    Addresses out;
    out.net = 20 + static_cast<int>(random() % 200);
    out.base = 12000 + static_cast<int>(random() % 18000);
    bool good = true;
    for (int n = 1; n <= count && good; ++n) {
      for (int const port : {out.front(), out.readiness(), out.control(), out.internal(), 9464})
        good = good && is_free(out.ip(n), port);
    }
    if (good) return out;
  }
  std::fprintf(stderr, "no free addresses\n");
  std::exit(2);
}

inline std::string make_folder() {
  std::string name = "/tmp/pipitspool-review-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) std::exit(2);
  return name;
}

// One machine with one process of the node program, started with the command of the deploy file.
class Node {
 public:
  std::string name, zone;
  int number = 0;
  bool has_disk = false;
  Addresses at;
  std::vector<std::string> seeds;
  std::map<std::string, std::string> settings;  // added to, or in place of, the usual ones
  std::string folder;
  std::string ip() const { return at.ip(number); }
  std::string address(int port) const { return ip() + ":" + std::to_string(port); }
  std::string data() const { return folder + "/data-" + name; }
  std::string log() const { return folder + "/" + name + ".log"; }

  void write_settings(bool first_start) const {
    std::map<std::string, std::string> v;
    v["node_name"] = name;
    v["role"] = "node";
    v["machine_class"] = "edge";
    v["serves"] = "edge,control";
    v["ip_address"] = ip();
    v["zone"] = zone;
    v["region"] = "primorska";
    for (char const* z : {"ajdovscina", "vipava", "nova-gorica"}) v[std::string("zones.") + z] = "primorska";
    v["listen_addresses.front"] = address(at.front());
    v["listen_addresses.readiness"] = address(at.readiness());
    v["listen_addresses.control"] = address(at.control());
    v["internal_port_range"] = at.internal_range();
    std::string list;
    for (std::string const& seed : seeds) list += (list.empty() ? "" : ",") + seed;
    v["seed_addresses"] = list;
    v["first_start"] = first_start ? "true" : "false";
    v["loss_counted"] = has_disk ? "true" : "false";
    v["limits.processor_share"] = has_disk ? "0.45" : "0.25";
    v["limits.processor_cores"] = "1";
    v["limits.memory_mb"] = "220";
    v["limits.file_descriptors"] = "4100";
    v["limits.link_mbps"] = "1000.0";
    if (has_disk) {
      v["limits.disk_mb"] = "64";
      v["data_directory"] = data();
    }
    v["discovery"] = "registration";
    v["entry"] = "virtual_address";
    v["beat_interval_ms"] = "1200";
    v["contracts"] = "base,drain,config,cost,retry,recover,engine,stream";
    v["tolerated_losses.machines"] = "1";
    v["tolerated_losses.zones"] = "0";
    v["tolerated_losses.regions"] = "0";
    v["bounds.seed_lag_s"] = "3";
    v["bounds.address_reuse_s"] = "2";
    v["bounds.in_touch_ms"] = "3000";
    v["bounds.acknowledge_ms"] = "4000";
    v["bounds.catch_up_s"] = "4";
    v["bounds.drain_ms"] = "2000";
    v["bounds.grace_s"] = "8";
    v["bounds.loss_slack_ms"] = "200";
    v["bounds.configuration_ms"] = "2000";
    v["bounds.downgrade_slack_ms"] = "250";
    v["bounds.outer_bound_ms"] = "5000";
    v["bounds.retry_budget_ratio"] = "0.2";
    v["bounds.budget_window_s"] = "10";
    v["bounds.extra_retries"] = "64";
    v["bounds.recovery_s"] = "12";
    v["bounds.pass_duration_ms"] = "120";
    for (auto const& item : settings) v[item.first] = item.second;
    std::ofstream out(folder + "/" + name + ".conf", std::ios::trunc);
    for (auto const& item : v) out << item.first << "=" << item.second << "\n";
  }

  void start(bool first_start) {
    write_settings(first_start);
    if (has_disk) std::filesystem::create_directories(data());
    std::string const settings_variable = "PIPITSPOOL_NODE_FILE=" + folder + "/" + name + ".conf";
    std::string const path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
    std::string const log_path = log();
    pid = ::fork();
    if (pid == 0) {
      int const out = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      char program[] = "target/pipitspool-node";
      char* argv[] = {program, nullptr};
      std::string s = settings_variable, p = path;
      char lang[] = "LANG=C";
      char* env[] = {s.data(), p.data(), lang, nullptr};
      ::execve(program, argv, env);
      ::_exit(127);
    }
    record("%s started%s, process %d", name.c_str(), first_start ? " for the first time" : "", pid);
  }
  void signal(int number_of_signal) const {
    if (pid > 0) ::kill(pid, number_of_signal);
  }
  // Ends the process at once.
  void kill() {
    if (pid <= 0) return;
    ::kill(pid, SIGKILL);
    int status = 0;
    ::waitpid(pid, &status, 0);
    record("%s killed", name.c_str());
    pid = -1;
  }
  // Whether the process has ended by itself; `status` as of waitpid.
  bool has_ended(int& status) {
    if (pid <= 0) return false;
    if (::waitpid(pid, &status, WNOHANG) != pid) return false;
    pid = -1;
    return true;
  }
  void lose_disk() const {
    std::filesystem::remove_all(data());
    record("%s has lost its disk", name.c_str());
  }
  bool running() const { return pid > 0; }
  pid_t pid = -1;
};

// The answer to a call; status 0 if there was none.
struct Answer {
  int status = 0;
  std::string head;
  std::string body;
  std::string why;
  std::string field(std::string const& field_name) const {
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
      std::size_t const colon = line.find(':');
      if (colon != field_name.size() || strncasecmp(line.c_str(), field_name.c_str(), colon) != 0) continue;
      std::string value = line.substr(colon + 1);
      while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) value.pop_back();
      return value.substr(value.find_first_not_of(' ') == std::string::npos ? 0 : value.find_first_not_of(' '));
    }
    return "";
  }
};

inline int dial(std::string const& ip, int port, double timeout_s) {
  int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return -1;
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
  int const one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
    ::close(fd);
    return -1;
  }
  pollfd p{fd, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  if (::poll(&p, 1, static_cast<int>(timeout_s * 1000)) != 1 ||
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    ::close(fd);
    return -1;
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

inline bool send_all(int fd, std::string const& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    ssize_t const n = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) return false;
    at += static_cast<std::size_t>(n);
  }
  return true;
}

// Reads one answer with Content-Length (as control answers have) within the time.
inline Answer read_answer(int fd, double timeout_s) {
  Answer out;
  std::string bytes;
  double const until = now_s() + timeout_s;
  while (true) {
    std::size_t const end = bytes.find("\r\n\r\n");
    if (end != std::string::npos) {
      Answer got;
      got.head = bytes.substr(0, end);
      std::size_t const length = std::strtoul(got.field("Content-Length").c_str(), nullptr, 10);
      if (bytes.size() >= end + 4 + length) {
        got.body = bytes.substr(end + 4, length);
        got.status = std::atoi(got.head.c_str() + 9);
        return got;
      }
    }
    double const left = until - now_s();
    pollfd p{fd, POLLIN, 0};
    if (left <= 0 || ::poll(&p, 1, static_cast<int>(left * 1000) + 1) <= 0) {
      out.why = "silence";
      return out;
    }
    char buffer[65536];
    ssize_t const n = ::recv(fd, buffer, sizeof buffer, 0);
    if (n <= 0) {
      out.why = "closed";
      return out;
    }
    bytes.append(buffer, static_cast<std::size_t>(n));
  }
}

inline Answer call(std::string const& ip, int port, std::string const& method, std::string const& path,
                   std::string const& body = "", std::string const& fields = "", double timeout_s = 1.0) {
  Answer out;
  int const fd = dial(ip, port, timeout_s);
  if (fd < 0) {
    out.why = "no connection";
    return out;
  }
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + ip + "\r\n" + fields;
  if (method != "GET")
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n" + body;
  if (send_all(fd, text)) out = read_answer(fd, timeout_s);
  ::close(fd);
  return out;
}

// The version in a configuration that was read; 0 if there is none.
inline long version_of(std::string const& body) {
  std::size_t const at = body.find("\"version\":");
  return at == std::string::npos ? 0 : std::strtol(body.c_str() + at + 10, nullptr, 10);
}

}  // namespace kit
