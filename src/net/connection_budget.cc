#include "net/connection_budget.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>

#include "base/events.h"
#include "net/clock.h"

namespace pipit {

namespace {
// Memory of the process for connections; the rest is for its tables, the copies of one request and the allocator.
constexpr std::size_t memory_share_percent = 50;
// Descriptors for files outside of the data folder, as the platform reserves them.
constexpr std::size_t file_descriptors = 200;
// Memory of a connection that holds no bytes: its objects, buffers of the parser, and sources of the main loop.
constexpr std::size_t connection_bytes = 4096;
// Bytes that count as progress of a connection.
constexpr std::size_t progress_bytes = 16u << 10;
// Running requests over this size leave a quarter of their part to others.
constexpr std::size_t large_request_bytes = 256u << 10;
// The largest frame of the mesh and a body of the default limit must fit, however little memory there is.
constexpr std::size_t min_mesh_bytes = 9u << 20;
constexpr std::size_t min_connections = 8;
// Allocations from this size on return to the system as soon as they are freed.
constexpr int mapped_allocation_bytes = 1 << 20;
constexpr int trim_threshold_bytes = 1 << 20;
constexpr std::size_t min_release_bytes = 4u << 20;
constexpr std::size_t min_logged_peak_bytes = 256u << 10;
constexpr Micros log_interval = seconds(1);

struct Share {
  char const* name;
  std::size_t memory_percent;      // of the memory for connections
  std::size_t connection_percent;  // of the descriptors; what remains is for connections that this process opens
};
constexpr std::array<Share, listener_group_count> shares = {
    {{"clients", 45, 40}, {"control", 25, 10}, {"mesh", 25, 15}, {"monitoring", 5, 3}}};
}  // namespace

std::size_t system_descriptor_limit() {
  rlimit limit = {};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<std::size_t>(limit.rlim_cur);
}

char const* name_of(ListenerGroup group) { return shares[static_cast<std::size_t>(group)].name; }

ConnectionBudget::ConnectionBudget(ProcessLimits const& limits) {
  std::size_t const memory = limits.memory_bytes / 100 * memory_share_percent;
  std::size_t const descriptors = limits.descriptors - std::min(limits.descriptors, file_descriptors);
  for (std::size_t i = 0; i < listener_group_count; ++i) {
    parts_[i].max_bytes = memory / 100 * shares[i].memory_percent;
    parts_[i].max_connections = std::max(min_connections, descriptors * shares[i].connection_percent / 100);
  }
  Part& mesh = part(ListenerGroup::mesh);
  mesh.max_bytes = std::max(mesh.max_bytes, min_mesh_bytes);
  ::mallopt(M_MMAP_THRESHOLD, mapped_allocation_bytes);
  ::mallopt(M_TRIM_THRESHOLD, trim_threshold_bytes);
}

std::unique_ptr<ConnectionAccount> ConnectionBudget::open_account(ListenerGroup group, Micros now) {
  if (!make_connection(group)) return nullptr;
  std::unique_ptr<ConnectionAccount> account(new ConnectionAccount(shared_from_this(), group, now));
  if (make_memory(*account)) return account;
  ++closed_for_memory;
  log_closing(group, "memory");
  return nullptr;
}

bool ConnectionBudget::make_connection(ListenerGroup group) {
  Part& of = part(group);
  if (of.accounts.size() < of.max_connections) return true;
  ConnectionAccount* last = nullptr;
  for (ConnectionAccount* const account : of.accounts)
    if (!account->pinned_ && !account->gives_way_ && account->give_way &&
        (last == nullptr || account->progress_at_ < last->progress_at_))
      last = account;
  ++closed_for_connections;
  log_closing(group, "connections");
  if (last == nullptr) return false;
  ask_to_give_way(*last);
  return of.accounts.size() < of.max_connections;
}

void ConnectionBudget::ask_to_give_way(ConnectionAccount& account) {
  account.gives_way_ = true;
  // Moved out first, since the call closes the account.
  std::function<void()> const give_way = std::move(account.give_way);
  give_way();
}

// Makes room for what the account holds now. False if it is the one that has to give way.
bool ConnectionBudget::make_memory(ConnectionAccount const& account) {
  Part& of = part(account.group_);
  while (of.held_bytes > of.max_bytes) {
    ConnectionAccount* last = nullptr;
    for (ConnectionAccount* const other : of.accounts)
      if (other->yielding_bytes() > 0 && !other->gives_way_ &&
          (last == nullptr || other->progress_at_ < last->progress_at_))
        last = other;
    if (last == nullptr || last == &account || !last->give_way) return false;
    ++closed_for_memory;
    log_closing(account.group_, "memory");
    ask_to_give_way(*last);
  }
  return true;
}

void ConnectionBudget::change_held(ConnectionAccount& account, std::size_t before, std::size_t after) {
  Part& of = part(account.group_);
  of.held_bytes = of.held_bytes - before + after;
  of.peak_bytes = std::max(of.peak_bytes, of.held_bytes);
  if (of.peak_bytes >= std::max(min_logged_peak_bytes, 2 * of.logged_peak_bytes)) log_peak(account.group_, of);
  if (after < before) release_free_memory();
}

void ConnectionBudget::log_peak(ListenerGroup group, Part& of) {
  of.logged_peak_bytes = of.peak_bytes;
  log_event(Event::held_bytes_rose, std::string(name_of(group)) + ": " + std::to_string(of.peak_bytes) + " of " +
                                        std::to_string(of.max_bytes) + " bytes, at most " +
                                        std::to_string(of.peak_connections) + " of " +
                                        std::to_string(of.max_connections) + " connections");
}

// Returns free memory to the system after a peak: the allocator keeps what it has freed between blocks in use.
void ConnectionBudget::release_free_memory() {
  std::size_t held = 0;
  for (Part const& item : parts_) held += item.held_bytes;
  peak_since_release_ = std::max(peak_since_release_, held);
  if (peak_since_release_ < min_release_bytes || held > peak_since_release_ / 4) return;
  peak_since_release_ = held;
  ::malloc_trim(0);
}

void ConnectionBudget::log_closing(ListenerGroup group, char const* cause) {
  ++closings_not_logged_;
  Micros const now = loop_time();
  if (last_logged_at_ >= 0 && now - last_logged_at_ < log_interval) return;
  Part const& of = part(group);
  log_event(Event::connections_limited,
            std::string(name_of(group)) + ": " + cause + ", " + std::to_string(closings_not_logged_) + " closed, " +
                std::to_string(of.held_bytes) + " of " + std::to_string(of.max_bytes) + " bytes, " +
                std::to_string(of.accounts.size()) + " of " + std::to_string(of.max_connections) + " connections");
  last_logged_at_ = now;
  closings_not_logged_ = 0;
}

void write_metrics(ConnectionBudget const& budget, MetricsText& text) {
  using Values = std::map<std::string, std::uint64_t>;
  Values held;
  Values peak;
  Values max;
  Values connections;
  Values peak_connections;
  Values max_connections;
  for (std::size_t i = 0; i < listener_group_count; ++i) {
    ListenerGroup const group = static_cast<ListenerGroup>(i);
    std::string const name = name_of(group);
    held[name] = budget.held_bytes(group);
    peak[name] = budget.peak_bytes(group);
    max[name] = budget.max_bytes(group);
    connections[name] = budget.connections(group);
    peak_connections[name] = budget.peak_connections(group);
    max_connections[name] = budget.max_connections(group);
  }
  text.gauges("pipit_held_bytes", "group", held);
  text.gauges("pipit_held_bytes_peak", "group", peak);
  text.gauges("pipit_held_bytes_limit", "group", max);
  text.gauges("pipit_accepted_connections", "group", connections);
  text.gauges("pipit_accepted_connections_peak", "group", peak_connections);
  text.gauges("pipit_accepted_connections_limit", "group", max_connections);
  text.counters("pipit_connections_limited_total", "cause",
                {{"connections", budget.closed_for_connections}, {"memory", budget.closed_for_memory}});
}

ConnectionAccount::ConnectionAccount(std::shared_ptr<ConnectionBudget> budget, ListenerGroup group, Micros now)
    : budget_(std::move(budget)), group_(group), progress_at_(now) {
  ConnectionBudget::Part& of = budget_->part(group_);
  position_ = of.accounts.insert(of.accounts.end(), this);
  of.peak_connections = std::max(of.peak_connections, of.accounts.size());
  budget_->change_held(*this, 0, held_bytes());
}

ConnectionAccount::~ConnectionAccount() {
  unpin_request();
  ConnectionBudget::Part& of = budget_->part(group_);
  of.accounts.erase(position_);
  budget_->change_held(*this, held_bytes(), 0);
}

std::size_t ConnectionAccount::held_bytes() const {
  return connection_bytes + request_bytes_ + read_ahead_bytes_ + unsent_bytes_;
}

std::size_t ConnectionAccount::yielding_bytes() const {
  return (pinned_ ? 0 : request_bytes_) + read_ahead_bytes_ + unsent_bytes_;
}

bool ConnectionAccount::hold(std::size_t& kind, std::size_t bytes) {
  std::size_t const before = held_bytes();
  std::size_t const former = kind;
  kind = bytes;
  budget_->change_held(*this, before, held_bytes());
  if (bytes <= former || budget_->make_memory(*this)) return true;
  ++budget_->closed_for_memory;
  budget_->log_closing(group_, "memory");
  return false;
}

bool ConnectionAccount::hold_request(std::size_t bytes) { return hold(request_bytes_, bytes); }

bool ConnectionAccount::hold_read_ahead(std::size_t bytes, Micros now) {
  if (read_ahead_bytes_ == 0 && bytes > 0) begin_progress(now);
  return hold(read_ahead_bytes_, bytes);
}

bool ConnectionAccount::hold_unsent(std::size_t bytes, Micros now) {
  if (unsent_bytes_ == 0 && bytes > 0) begin_progress(now);
  return hold(unsent_bytes_, bytes);
}

bool ConnectionAccount::pin_request() {
  ConnectionBudget::Part& of = budget_->part(group_);
  std::size_t const limit = request_bytes_ > large_request_bytes ? of.max_bytes / 4 * 3 : of.max_bytes;
  if (of.pinned_bytes + request_bytes_ > limit) {
    ++budget_->closed_for_memory;
    budget_->log_closing(group_, "memory");
    return false;
  }
  of.pinned_bytes += request_bytes_;
  pinned_ = true;
  return true;
}

void ConnectionAccount::unpin_request() {
  if (!pinned_) return;
  budget_->part(group_).pinned_bytes -= request_bytes_;
  pinned_ = false;
}

void ConnectionAccount::begin_progress(Micros now) {
  progress_at_ = now;
  bytes_since_progress_ = 0;
}

void ConnectionAccount::count_progress(std::size_t bytes, Micros now) {
  bytes_since_progress_ += bytes;
  if (bytes_since_progress_ >= progress_bytes) begin_progress(now);
}

}  // namespace pipit
