#include "testing/platform_fleet_test/nodes.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/rtnetlink.h>
#include <linux/sock_diag.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/hash.h"
#include "testing/platform_fleet_test/clock.h"

namespace pipit::platform_fleet {

namespace {
// Time between SIGTERM and SIGKILL.
constexpr Micros termination_grace = seconds(8);
constexpr Micros restart_delay = millis(300);
// A node may report ready for this long after SIGTERM.
constexpr Micros max_ready_after_termination = seconds(2);
constexpr unsigned mesh_port_last = 7315;

// Third octet of a node's public and private IP address.
constexpr char public_part[] = ".1.";
constexpr char private_part[] = ".121.";

// Position of the dot after the second octet; npos if there is none.
std::size_t second_octet_end(std::string const& ip) {
  std::size_t const first = ip.find('.');
  return first == std::string::npos ? first : ip.find('.', first + 1);
}

bool has_third_octet(std::string const& ip, char const* part) {
  std::size_t const at = second_octet_end(ip);
  return at != std::string::npos && ip.compare(at, std::strlen(part), part) == 0;
}

std::string at_port(std::string const& ip, unsigned port) { return ip + ":" + std::to_string(port); }
}  // namespace

Nodes::Nodes(NodesPlan plan_, Shape const& shape_, Judge& judge_)
    : plan(std::move(plan_)), shape(shape_), judge(judge_) {
  int seeds = 0;
  for (bool const core : {true, false})
    for (Zone const& zone : shape.zones)
      for (int i = 0; i < (core ? zone.core_nodes : zone.plain_nodes); ++i) add_node(zone.name, core, seeds++ < 3);
  diagnostics_fd = ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
}

Node& Nodes::add_node(std::string const& zone, bool core, bool seed) {
  std::unique_ptr<Node> node = std::make_unique<Node>();
  std::string const number = std::to_string(++last_number);
  std::string const net = "127." + std::to_string(plan.net);
  node->name = "edge-" + zone + "-" + number;
  node->zone = zone;
  node->ip = net + public_part + number;
  node->private_ip = plan.relay != nullptr ? net + private_part + number : node->ip;
  node->data_folder = plan.folder + "/" + node->name + "/data";
  node->log = plan.folder + "/" + node->name + "/log";
  node->core = core;
  node->seed = seed;
  zone_of[node->ip] = zone;
  all.push_back(std::move(node));
  return *all.back();
}

std::string Nodes::public_address(std::string const& address) {
  if (!has_third_octet(address, private_part)) return address;
  std::size_t const at = second_octet_end(address);
  return address.substr(0, at) + public_part + address.substr(at + std::strlen(private_part));
}

bool Nodes::is_node_ip(std::string const& ip) { return has_third_octet(ip, public_part); }

Nodes::~Nodes() {
  for (std::unique_ptr<Node> const& node : all)
    if (node->pid > 0) {
      ::kill(node->pid, SIGKILL);
      ::waitpid(node->pid, nullptr, 0);
    }
  if (diagnostics_fd >= 0) ::close(diagnostics_fd);
}

void Nodes::write_settings(Node const& node, bool first) const {
  std::ofstream file(plan.folder + "/" + node.name + "/node.conf");
  file << "node_name=" << node.name << "\nrole=node\nmachine_class=edge\nserves=edge,control\n"
       << "ip_address=" << node.ip << "\nzone=" << node.zone << "\nregion=here\n";
  for (Zone const& zone : shape.zones) file << "zones." << zone.name << "=here\n";
  file << "listen_addresses.front=" << at_port(node.private_ip, front_port)
       << "\nlisten_addresses.readiness=" << at_port(node.private_ip, ready_port)
       << "\nlisten_addresses.control=" << at_port(node.private_ip, control_port)
       << "\ninternal_port_range=" << mesh_port << "," << mesh_port_last << "\n";
  if (plan.relay != nullptr) file << "listen_addresses.mesh=" << at_port(node.private_ip, mesh_port) << "\n";
  std::string seeds;
  for (std::unique_ptr<Node> const& item : all)
    if (item->seed && !item->removed) seeds += (seeds.empty() ? "" : ",") + item->control_address();
  file << "seed_addresses=" << seeds << "\nfirst_start=" << (first ? "true" : "false")
       << "\nloss_counted=" << (node.core ? "true" : "false") << "\nlimits.processor_share="
       << (node.core ? shape.bounds.core_processor_share : shape.bounds.plain_processor_share) << "\n";
  if (node.core) file << "data_directory=" << node.data_folder << "\n";
  file << "discovery=registration\nentry=virtual_address\nbeat_interval_ms=1200\n"
       << "contracts=base,drain,config,cost,retry,recover,engine,stream\ntolerated_losses.machines="
       << shape.bounds.tolerated_machines
       << "\nbounds.seed_lag_s=3\nbounds.address_reuse_s=2\nbounds.in_touch_ms=" << shape.bounds.in_touch / 1000
       << "\nbounds.acknowledge_ms=" << shape.bounds.acknowledge / 1000
       << "\nbounds.drain_ms=" << shape.bounds.drain / 1000
       << "\nbounds.grace_s=8\nbounds.configuration_ms=" << shape.bounds.configuration / 1000 << "\n"
       << "bounds.retry_budget_ratio=" << shape.retry_ratio << "\nbounds.budget_window_s=10\n"
       << "bounds.extra_retries=" << shape.extra_retries
       << "\nbounds.pass_duration_ms=" << shape.bounds.pass_duration / 1000 << "\n";
}

void Nodes::start(Node& node, bool first) {
  std::string const home = plan.folder + "/" + node.name;
  std::filesystem::create_directories(home + (node.core ? "/data" : ""));
  write_settings(node, first);
  std::string const variable = "PIPITSPOOL_NODE_FILE=" + home + "/node.conf";
  std::string const log = node.log;
  pid_t const parent = ::getpid();
  pid_t const made = ::fork();
  if (made == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(1);
    int const fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    char const* const args[] = {plan.program.c_str(), nullptr};
    char const* const variables[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
    ::execve(args[0], const_cast<char* const*>(args), const_cast<char* const*>(variables));
    ::_exit(127);
  }
  node.pid = made;
  if (plan.relay != nullptr)
    for (unsigned const port : {front_port, control_port, ready_port, mesh_port})
      plan.relay->open(at_port(node.ip, port), at_port(node.private_ip, port));
  node.frozen = false;
  node.terminating = false;
  node.cpu = 0;
  node.last_fault = now();
}

void Nodes::start_all() {
  for (std::unique_ptr<Node> const& node : all) start(*node, true);
  for (std::unique_ptr<Node> const& node : all) poll_periodically(*node);
  run_every(millis(50), [this] {
    reap_processes();
    if (now() >= next_sample) {
      next_sample = now() + millis(400);
      sample();
    }
    return true;
  });
}

void Nodes::poll_periodically(Node& node) {
  Node* const at = &node;
  run_every(seconds(1), [this, at] {
    if (!at->removed) poll(*at);
    return !at->removed;
  });
}

void Nodes::wipe(Node& node, Micros back_after) {
  if (node.pid <= 0 || node.terminating) return;
  kill(node, back_after);
  // By then the killed process has ended and the next one has not started, so no process has the files open.
  std::string const data_folder = node.data_folder;
  run_after(millis(150), [data_folder] {
    std::error_code wrong;
    std::filesystem::remove_all(data_folder, wrong);
    std::filesystem::create_directories(data_folder, wrong);
  });
}

void Nodes::replace(Node& node, Micros new_after) {
  if (node.pid <= 0 || node.terminating || node.removed) return;
  kill(node, -1);
  planned_restarts[node.pid] = -1;
  node.removed = true;
  node.in_rotation = false;
  record_unplanned_fault(now() + new_after + seconds(4));
  bool const was_seed = node.seed;
  bool const core = node.core;
  std::string const zone = node.zone;
  run_after(new_after, [this, was_seed, core, zone] {
    if (ending) return;
    Node& made = add_node(zone, core, was_seed);
    start(made, false);
    poll_periodically(made);
  });
}

void Nodes::reload(Node& node) {
  if (node.pid <= 0 || node.terminating || node.removed) return;
  write_settings(node, false);
  ::kill(node.pid, SIGHUP);
}

void Nodes::mark_link_fault(Node& node, Micros until, bool cut_off) {
  node.cut_off = cut_off && (node.cut_off || node.link_fault_until <= now());
  node.last_fault = now();
  node.link_fault_until = std::max(node.link_fault_until, until);
  record_unplanned_fault(until);
}

void Nodes::check_metrics(std::function<void()> done) {
  std::shared_ptr<std::size_t> const open = std::make_shared<std::size_t>(1);
  std::function<void()> const finish_one = [open, done] {
    if (--*open == 0) done();
  };
  for (std::unique_ptr<Node> const& node : all) {
    if (node->pid <= 0 || node->frozen) continue;
    ++*open;
    std::string const address = at_port(node->ip, metrics_port);
    metrics_connections.push_back(
        ClientConnection::dial(address, "127." + std::to_string(plan.net) + ".5.2", seconds(1)));
    std::shared_ptr<std::string> const text = std::make_shared<std::string>();
    ClientConnection::Callbacks callbacks;
    callbacks.body = [text](std::string_view bytes) { text->append(bytes); };
    callbacks.end = [this, text, finish_one, name = node->name](ClientConnection::Outcome) {
      std::istringstream lines(*text);
      std::string line;
      while (std::getline(lines, line))
        if (line.rfind("pipit_invariant_violations_total{", 0) == 0 && !line.ends_with(" 0"))
          judge.report_violation(Promise::invariant, name + ": " + line);
      // Missing metrics prove no invariant, so they count as a violation.
      if (text->find("pipit_invariant_violations_total{") == std::string::npos)
        judge.report_violation(Promise::invariant, name + " returned no invariant metrics");
      ++metrics_read;
      finish_one();
    };
    metrics_connections.back()->send_request(request_of("GET", "/metrics", address, "Connection: close\r\n", ""),
                                             std::move(callbacks), seconds(2));
  }
  finish_one();
}

void Nodes::check_logs() {
  for (std::unique_ptr<Node> const& node : all) {
    std::ifstream file(node->log);
    std::string line;
    int reported = 0;
    while (std::getline(file, line))
      if (line.find(" E910 ") != std::string::npos && ++reported <= 3)
        judge.report_violation(Promise::invariant, node->name + ": " + line.substr(0, 300));
  }
}

void Nodes::kill(Node& node, Micros back_after) {
  if (node.pid <= 0 || node.terminating) return;
  node.last_fault = now();
  record_unplanned_fault(now() + back_after);
  node.terminating = true;
  planned_restarts[node.pid] = now() + back_after;
  node.cpu = cpu_of(node);
  ::kill(node.pid, SIGKILL);
}

void Nodes::terminate(Node& node, Micros back_after) {
  if (node.pid <= 0 || node.terminating) return;
  node.last_fault = node.termination_requested_at = now();
  node.terminating = true;
  pid_t const pid = node.pid;
  planned_restarts[pid] = back_after < 0 ? -1 : now() + back_after;
  ::kill(pid, SIGTERM);
  Node* const at = &node;
  run_after(termination_grace, [this, at, pid] {
    if (at->pid != pid) return;
    at->last_fault = now();
    ::kill(pid, SIGKILL);
  });
}

void Nodes::freeze(Node& node, Micros span) {
  if (node.pid <= 0 || node.terminating || node.frozen) return;
  node.last_fault = now();
  record_unplanned_fault(now() + span);
  node.frozen = true;
  pid_t const pid = node.pid;
  ::kill(pid, SIGSTOP);
  Node* const at = &node;
  run_after(span, [at, pid] {
    if (at->pid != pid) return;
    at->last_fault = now();
    at->frozen = false;
    ::kill(pid, SIGCONT);
  });
}

void Nodes::end_all() {
  ending = true;
  for (std::unique_ptr<Node> const& node : all) {
    if (node->frozen) ::kill(node->pid, SIGCONT);
    node->frozen = false;
    terminate(*node, -1);
  }
}

bool Nodes::all_ended() const {
  for (std::unique_ptr<Node> const& node : all)
    if (node->pid > 0) return false;
  return true;
}

bool Nodes::all_ready() const {
  for (std::unique_ptr<Node> const& node : all)
    if (!node->in_rotation && !node->removed) return false;
  return true;
}

void Nodes::reap_processes() {
  for (std::unique_ptr<Node> const& item : all) {
    Node* const node = item.get();
    if (node->pid <= 0) continue;
    int status = 0;
    if (::waitpid(node->pid, &status, WNOHANG) != node->pid) continue;
    std::map<pid_t, Micros>::iterator const planned = planned_restarts.find(node->pid);
    Micros again = now() + restart_delay;
    if (planned == planned_restarts.end()) {
      record_unplanned_fault(now() + restart_delay);
      judge.report_violation(Promise::ended,
                             node->name + (WIFSIGNALED(status) ? " by signal " + std::to_string(WTERMSIG(status))
                                                               : " with " + std::to_string(WEXITSTATUS(status))));
    } else {
      again = planned->second;
      planned_restarts.erase(planned);
    }
    node->pid = 0;
    if (plan.relay != nullptr) plan.relay->close_listeners(node->ip);
    node->cpu_of_ended_processes += node->cpu;
    node->cpu = 0;
    node->last_fault = now();
    if (ending || again < 0) continue;
    run_after(std::max(restart_delay, again - now()), [this, node] {
      if (!ending && node->pid == 0) start(*node, false);
    });
  }
}

void Nodes::poll(Node& node) {
  Node* const at = &node;
  Micros const began = now();
  std::shared_ptr<ClientConnection> const line =
      ClientConnection::dial(node.readiness_address(), "127." + std::to_string(plan.net) + ".5.1", millis(900));
  node.readiness_poll = line;
  ClientConnection::Callbacks callbacks;
  std::shared_ptr<unsigned> const status = std::make_shared<unsigned>(0);
  callbacks.head = [status](unsigned code) { *status = code; };
  Micros const reported = node.terminating ? node.termination_requested_at : -1;
  callbacks.end = [this, at, status, began, reported](ClientConnection::Outcome end) {
    bool const ready = end == ClientConnection::Outcome::complete && *status == 200;
    if (ready && reported >= 0 && began - reported > max_ready_after_termination)
      judge.report_violation(Promise::ready_ending, at->name);
    if (!ending && at->was_ready && in_touch(*at, began) && in_touch(*at, now())) {
      ++polls;
      if (!ready) ++polls_unready;
    }
    if (ready) {
      at->failed_polls = 0;
      at->in_rotation = true;
      at->was_ready = true;
    } else if (++at->failed_polls >= 2) {
      at->in_rotation = false;
    }
  };
  line->send_request(request_of("GET", "/readiness", node.readiness_address(), "Connection: close\r\n", ""),
                     std::move(callbacks), millis(900));
}

Node& Nodes::random_node(RandomSource& random) {
  for (;;) {
    Node& node = *all[random.below(all.size())];
    if (!node.removed) return node;
  }
}

Node* Nodes::by_ip(std::string const& ip) {
  for (std::unique_ptr<Node> const& node : all)
    if (node->ip == ip || node->private_ip == ip) return node.get();
  return nullptr;
}

Node* Nodes::choose_node(std::string const& zone, std::uint64_t client, int turn) {
  std::vector<Node*> in_zone;
  std::vector<Node*> in_zone_ready;
  std::vector<Node*> elsewhere;
  for (std::unique_ptr<Node> const& node : all) {
    if (node->removed) continue;
    if (node->zone == zone) {
      in_zone.push_back(node.get());
      if (node->in_rotation) in_zone_ready.push_back(node.get());
    } else if (node->in_rotation) {
      elsewhere.push_back(node.get());
    }
  }
  std::vector<Node*> const& from = in_zone_ready.empty() ? (elsewhere.empty() ? in_zone : elsewhere)
                                   : in_zone_ready.size() * 2 < in_zone.size() ? in_zone
                                                                               : in_zone_ready;
  if (from.empty()) return nullptr;
  return from[(hash_bits(client) + static_cast<std::uint64_t>(turn)) % from.size()];
}

bool Nodes::in_touch(Node const& node, Micros at) const {
  Micros const settle_time = shape.bounds.in_touch;
  if (at - last_loop_delay < settle_time) return false;
  if (node.pid <= 0 || node.frozen || node.terminating || at - node.last_fault < settle_time) return false;
  return at - node.link_fault_until >= settle_time && core_is_settled(at);
}

// The rules' "settled": more than half of the core runs and is connected, and for the settle time no core node was
// ended, started, stopped, continued, cut off or joined again. Core nodes that have been cut off or stopped for longer
// don't excuse the others.
bool Nodes::core_is_settled(Micros at) const {
  Micros const settle_time = shape.bounds.in_touch;
  std::size_t members = 0;
  std::size_t connected = 0;
  for (std::unique_ptr<Node> const& item : all) {
    if (!item->core) continue;
    if (at - item->last_fault < settle_time) return false;
    if (item->removed) continue;
    bool const has_link_fault = item->link_fault_until > at;
    if (has_link_fault ? !item->cut_off : at - item->link_fault_until < settle_time) return false;
    ++members;
    if (item->pid > 0 && !item->frozen && !item->terminating && !has_link_fault) ++connected;
  }
  return connected * 2 > members;
}

bool Nodes::ended_by_planned_termination(Node const& node, Micros sent, Micros at) const {
  // After half of the grace period a request that a worker is still processing excuses the node.
  return node.termination_requested_at >= 0 && at >= node.termination_requested_at &&
         at < node.termination_requested_at + termination_grace / 2 &&
         sent - last_unplanned_fault > shape.bounds.in_touch && sent - last_loop_delay > shape.bounds.in_touch &&
         at - last_loop_delay > shape.bounds.in_touch;
}

bool Nodes::all_in_touch(Micros at) const {
  for (std::unique_ptr<Node> const& item : all)
    if (!item->removed && !in_touch(*item, at)) return false;
  return true;
}

double Nodes::cpu_of(Node const& node) const {
  if (node.pid <= 0) return 0;
  std::ifstream file("/proc/" + std::to_string(node.pid) + "/stat");
  std::string line;
  std::getline(file, line);
  std::size_t const from = line.rfind(')');
  if (from == std::string::npos) return node.cpu;
  std::stringstream fields(line.substr(from + 2));
  std::string argument;
  double ticks = 0;
  for (int field = 3; fields >> argument && field <= 15; ++field)
    if (field >= 14) ticks += std::atof(argument.c_str());
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

void Nodes::sample() {
  for (std::unique_ptr<Node> const& node : all) {
    if (node->pid <= 0) continue;
    node->cpu = std::max(node->cpu, cpu_of(*node));
    std::ifstream file("/proc/" + std::to_string(node->pid) + "/status");
    std::string line;
    while (std::getline(file, line))
      if (line.compare(0, 6, "VmHWM:") == 0)
        node->memory_mb = std::max(node->memory_mb, std::atof(line.c_str() + 6) / 1024);
  }
  count_mesh_bytes();
}

// Adds up the mesh bytes from the kernel's socket diagnostics, which report the bytes that the peer of each connection
// on this machine has acknowledged. Bytes of connections that end between two samples are partly missed.
void Nodes::count_mesh_bytes() {
  // Connections through the relay are between a machine and the relay, so their ends tell no pair of machines.
  if (diagnostics_fd < 0 || plan.relay != nullptr) return;
  struct {
    nlmsghdr head;
    inet_diag_req_v2 ask;
  } request;
  std::memset(&request, 0, sizeof request);
  request.head.nlmsg_len = sizeof request;
  request.head.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.head.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
  request.ask.sdiag_family = AF_INET;
  request.ask.sdiag_protocol = IPPROTO_TCP;
  request.ask.idiag_ext = 1 << (INET_DIAG_INFO - 1);
  request.ask.idiag_states = 1 << 1;  // established
  if (::send(diagnostics_fd, &request, sizeof request, 0) < 0) return;
  std::map<std::string, std::uint64_t> fresh;
  static char buffer[1 << 17];
  for (bool more = true; more;) {
    ssize_t const size = ::recv(diagnostics_fd, buffer, sizeof buffer, 0);
    if (size <= 0) return;
    std::size_t left = static_cast<std::size_t>(size);
    for (nlmsghdr* head = reinterpret_cast<nlmsghdr*>(buffer); NLMSG_OK(head, left); head = NLMSG_NEXT(head, left)) {
      if (head->nlmsg_type == NLMSG_DONE || head->nlmsg_type == NLMSG_ERROR) {
        more = false;
        break;
      }
      inet_diag_msg const& item = *static_cast<inet_diag_msg*>(NLMSG_DATA(head));
      unsigned const local_port = ntohs(item.id.idiag_sport);
      unsigned const remote_port = ntohs(item.id.idiag_dport);
      if (local_port != mesh_port && remote_port != mesh_port) continue;
      char a[INET_ADDRSTRLEN];
      char b[INET_ADDRSTRLEN];
      inet_ntop(AF_INET, item.id.idiag_src, a, sizeof a);
      inet_ntop(AF_INET, item.id.idiag_dst, b, sizeof b);
      std::map<std::string, std::string>::const_iterator const from = zone_of.find(a);
      std::map<std::string, std::string>::const_iterator const to = zone_of.find(b);
      if (from == zone_of.end() || to == zone_of.end()) continue;
      std::size_t remaining = head->nlmsg_len - NLMSG_LENGTH(sizeof item);
      for (rtattr* part = reinterpret_cast<rtattr*>(const_cast<inet_diag_msg*>(&item) + 1); RTA_OK(part, remaining);
           part = RTA_NEXT(part, remaining)) {
        if (part->rta_type != INET_DIAG_INFO) continue;
        tcp_info info;
        std::memset(&info, 0, sizeof info);
        std::memcpy(&info, RTA_DATA(part), std::min<std::size_t>(sizeof info, RTA_PAYLOAD(part)));
        std::string const key = std::to_string(item.idiag_inode);
        std::uint64_t const before = acknowledged_bytes.count(key) > 0 ? acknowledged_bytes[key] : 0;
        std::uint64_t const now_acked = info.tcpi_bytes_acked;
        fresh[key] = now_acked;
        std::uint64_t const more_bytes = now_acked > before ? now_acked - before : 0;
        mesh_bytes += more_bytes;
        if (from->second != to->second) mesh_bytes_across += more_bytes;
      }
    }
  }
  acknowledged_bytes = std::move(fresh);
}

}  // namespace pipit::platform_fleet
