// Stand-ins of the platform for the scripts of this review: processes of the system on loopback addresses, workers, an
// operator and clients that speak what the platform's pages say. Every case links this file; nothing here is part of
// the product. All times are milliseconds on the steady clock since the start of the case.
#pragma once
#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

std::int64_t now_ms();
void sleep_ms(std::int64_t ms);
void sleep_until(std::int64_t at_ms);
// Whether the disruption is part of this run: TROUBLE=0 leaves it out.
bool with_trouble();
// Writes a line with its time to record.txt.
void record(std::string const& line);
// A random number below 'limit'.
std::uint64_t random_below(std::uint64_t limit);
std::string random_hex();

// A received HTTP message. Field names are in lower case.
struct Message {
  bool complete = false;   // read to its end by its own framing
  std::string first_line;  // request line or status line
  unsigned status = 0;     // of a response
  std::map<std::string, std::string> fields;
  std::string body;
};

// Sends raw bytes to "IP:port" and reads one response; 'complete' is false without one in 'timeout_ms'.
Message call(std::string const& address, std::string const& bytes, std::int64_t timeout_ms);
// An HTTP/1.1 request as bytes.
std::string request_text(std::string const& method, std::string const& path,
                         std::vector<std::pair<std::string, std::string>> const& fields, std::string const& body);

// The loopback addresses of one run, which no other run on the machine uses.
class Addresses {
 public:
  Addresses();
  std::string node(int n) const;    // IP number of machine n
  std::string worker(int n) const;  // IP number of worker n

 private:
  std::string prefix_;
};

// One machine of the system: a settings file, a data folder if it has a disk, and a process.
class Machine {
 public:
  Machine(std::string name, std::string ip, std::string zone, bool has_disk, std::string folder);
  ~Machine();
  std::string const name, ip, zone;
  bool const has_disk;
  bool behind_links = false;  // listens for other machines behind Links
  std::string front() const { return ip + ":8263"; }
  std::string readiness() const { return ip + ":8268"; }
  std::string control() const { return ip + ":8262"; }
  // Writes the settings file. 'seeds' are control addresses.
  void write_settings(std::vector<std::string> const& seeds, bool first_start);
  void start();
  void signal(int number);
  // SIGKILL, and waits for the end.
  void kill();
  bool running();
  bool ready();

 private:
  std::string const folder_;
  pid_t process_ = 0;
};

// The links between machines: every connection between two machines passes here, and is held without a byte while the
// two are cut off from each other. A machine listens for the others at the second port of its range, and this proxy at
// the first one.
class Links {
 public:
  ~Links();
  void add(std::string const& ip);
  // Cuts the first machines off from the others, or joins them again. Bytes that a cut held up are lost: the
  // connections end when it heals.
  void cut(std::vector<std::string> const& side, std::vector<std::string> const& other);
  void heal();

 private:
  bool is_cut(std::string const& a, std::string const& b);
  void accept_loop(int listener, std::string ip);
  void forward(int from, std::string const& from_ip, std::string const& to_ip);

  std::atomic<bool> running_{true};
  std::mutex mutex_;
  std::vector<std::pair<std::string, std::string>> cut_pairs_;
  std::vector<std::thread> threads_;
  std::atomic<int> open_{0};
};

// A deployment of machines in three zones, with the settings of the small deployment vipava-trgatev.
struct Fleet {
  Fleet(int with_disk, int without_disk);
  ~Fleet();
  std::string folder;  // temporary
  Addresses addresses;
  std::vector<std::unique_ptr<Machine>> machines;  // those with a disk come first
  void write_settings(std::vector<int> const& seeds, bool first_start);
  void start_all();
  bool wait_until_all_ready(std::int64_t timeout_ms);
};

// A worker: serves requests with streams of events, and sends heartbeats to the system.
class Worker {
 public:
  struct Arrival {
    std::int64_t at = 0;
    std::string id;  // X-Request-Attempt
  };
  Worker(std::string id, std::string ip, std::string zone, Fleet& fleet);
  ~Worker();
  std::string const id;
  // Starts to serve and to send heartbeats.
  void start();
  // Ends heartbeats; the worker serves on.
  void stop_heartbeats();
  // Ends serving; answers under way are broken off.
  void stop();
  // The number of the next call; each call to the system has one of its own, above those before it.
  std::uint64_t take_sequence();
  // Numbers the calls by the worker's clock in microseconds instead of counting them.
  bool numbers_by_clock = false;
  // The bytes of a heartbeat.
  std::string heartbeat(std::string const& state, std::uint64_t sequence) const;
  // Calls one machine after another until one acknowledges. Returns the time of the acknowledgement, -1 for none.
  std::int64_t announce(std::string const& bytes, std::string const& what, std::int64_t timeout_ms);
  std::vector<Arrival> arrivals();

 private:
  void serve();
  void serve_connection(int fd);
  void beat();

  std::string const ip_, zone_;
  Fleet& fleet_;
  std::atomic<bool> serving_{false};
  std::atomic<bool> beating_{false};
  std::atomic<std::uint64_t> sequence_{0};
  std::atomic<int> connections_{0};
  int listener_ = -1;
  std::size_t next_ = 0;
  std::thread server_, beater_;
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
};

// The operator's configuration 'version', with a route that may be resumed and one that may not, both to one service,
// and its request.
std::string configuration(int version);
std::string replace_request(int version, int based_on);
// Sends a Replace to machine after machine until it is acknowledged. Returns whether it was.
bool replace(Fleet& fleet, int version, int based_on, std::int64_t timeout_ms);
// Reads the configuration from a machine: its version, 0 if there is no answer with status 200.
int read_version(Machine& machine, std::int64_t timeout_ms);

// A client's request and how it ended.
struct Sent {
  std::string id;
  std::string machine;
  std::int64_t at = 0;
  unsigned status = 0;      // 0 without a whole answer
  bool repeatable = false;  // sent on the route that may be resumed
};
// Clients that send requests on both routes to all machines all the time, each on a new connection.
class Clients {
 public:
  Clients(Fleet& fleet, int threads, std::int64_t pause_ms);
  ~Clients();
  void stop();
  std::vector<Sent> sent();

 private:
  void run();
  Fleet& fleet_;
  std::int64_t const pause_ms_;
  std::atomic<bool> running_{true};
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::vector<Sent> sent_;
};

// Ends the case with its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
[[noreturn]] void finish(int code, std::string const& verdict);
// Opens record.txt in the given folder. Ends the process with 2 after 'limit_s' seconds.
void begin(std::string const& record_path, int limit_s);

}  // namespace review
