#include "testing/platform_fleet_test/fault_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>

#include "base/ip.h"
#include "testing/platform_fleet_test/clock.h"

namespace pipit::platform_fleet {

namespace {
constexpr Micros turn_span = millis(2);
constexpr Micros dial_within = seconds(1);
}  // namespace

FaultRelay::FaultRelay(std::uint64_t seed, Identify identify_) : random(seed), identify(std::move(identify_)) {
  every(turn_span, [this, still = std::weak_ptr<bool>(alive)] {
    if (still.expired()) return false;
    turn();
    return true;
  });
}

FaultRelay::~FaultRelay() {
  for (std::shared_ptr<Pair> const& pair : pairs) {
    if (pair->downstream.link) pair->downstream.link->close();
    if (pair->upstream.link) pair->upstream.link->close();
  }
}

void FaultRelay::open(std::string const& public_address, std::string const& private_address) {
  std::unique_ptr<OpenDoor>& door = doors[public_address];
  if (door) return;
  door = std::make_unique<OpenDoor>();
  door->target = private_address;
  std::uint16_t port = 0;
  split_address(public_address, door->ip, port);
  door->port = port;
  OpenDoor const* const at = door.get();
  Result<void> const done =
      door->door.open(public_address, [this, at](std::shared_ptr<TcpConnection> link) { take(*at, std::move(link)); });
  if (!done) g_error("platform_fleet_test: %s", done.error().what.c_str());
}

void FaultRelay::shut(std::string const& public_ip) {
  std::erase_if(doors, [&public_ip](std::pair<std::string const, std::unique_ptr<OpenDoor>> const& item) {
    return item.second->ip == public_ip;
  });
}

void FaultRelay::begin(LinkFault fault) { faults.push_back(std::move(fault)); }

void FaultRelay::reset(std::function<bool(std::string const&, std::string const&)> const& concerns, double chance) {
  std::vector<std::shared_ptr<Pair>> chosen;
  for (std::shared_ptr<Pair> const& pair : pairs)
    if (concerns(pair->from, pair->to) && random.chance(chance)) chosen.push_back(pair);
  for (std::shared_ptr<Pair> const& pair : chosen) {
    ++resets;
    drop(pair);
  }
}

bool FaultRelay::cut(std::string const& from, std::string const& to, unsigned port) const {
  return std::any_of(faults.begin(), faults.end(), [&](LinkFault const& fault) {
    return fault.kind == LinkFault::Kind::cut && (fault.port == 0 || fault.port == port) && now() < fault.until &&
           fault.concerns(from, to);
  });
}

Micros FaultRelay::delay(std::string const& from, std::string const& to, unsigned port) const {
  Micros out = 0;
  for (LinkFault const& fault : faults)
    if (fault.kind == LinkFault::Kind::delay && (fault.port == 0 || fault.port == port) && now() < fault.until &&
        fault.concerns(from, to))
      out = std::max(out, fault.span);
  return out;
}

void FaultRelay::take(OpenDoor const& door, std::shared_ptr<TcpConnection> link) {
  std::shared_ptr<Pair> const pair = std::make_shared<Pair>();
  pair->source = link->peer_ip();
  pair->from = identify(pair->source);
  pair->to = identify(door.ip);
  pair->port = door.port;
  pair->target = door.target;
  pair->downstream.link = std::move(link);
  for (LinkFault const& fault : faults)
    if (fault.kind == LinkFault::Kind::swallow && (fault.port == 0 || fault.port == pair->port) &&
        now() < fault.until && fault.concerns(pair->from, pair->to) && random.chance(fault.chance))
      pair->lost = true;
  if (pair->lost) ++swallowed;
  pairs.insert(pair);
  listen(pair, true);
  dial(pair);
}

void FaultRelay::dial(std::shared_ptr<Pair> const& pair) {
  // A connection comes up only while both directions are open.
  if (pair->dialled || cut(pair->from, pair->to, pair->port) || cut(pair->to, pair->from, pair->port)) return;
  pair->dialled = true;
  pair->upstream.link = TcpConnection::dial(pair->target, pair->source, dial_within);
  if (!pair->upstream.link->open()) return drop(pair);
  listen(pair, false);
}

void FaultRelay::listen(std::shared_ptr<Pair> const& pair, bool downstream) {
  std::weak_ptr<Pair> const weak = pair;
  Side& side = downstream ? pair->downstream : pair->upstream;
  side.link->set_callbacks({[this, weak] {
                              if (std::shared_ptr<Pair> const at = weak.lock()) pump(at);
                            },
                            [this, weak, downstream](std::string_view bytes) {
                              std::shared_ptr<Pair> const at = weak.lock();
                              if (at) arrived(at, downstream, Chunk{0, std::string(bytes), false, false});
                            },
                            [this, weak, downstream](TcpConnection::CloseReason how) {
                              std::shared_ptr<Pair> const at = weak.lock();
                              if (at)
                                arrived(at, downstream, Chunk{0, "", true, how != TcpConnection::CloseReason::closed});
                            },
                            nullptr});
}

// Bytes, or the end, of one side's machine; they are queued for the other side.
void FaultRelay::arrived(std::shared_ptr<Pair> const& pair, bool downstream, Chunk chunk) {
  if (!downstream && pair->lost) {
    // The answer is lost on its way, and the caller sees nothing at all.
    if (chunk.end) pair->upstream.link.reset();
    return;
  }
  if (downstream && pair->lost && chunk.end) return drop(pair);
  carried += chunk.bytes.size();
  Side& other = downstream ? pair->upstream : pair->downstream;
  std::string const& from = downstream ? pair->from : pair->to;
  std::string const& to = downstream ? pair->to : pair->from;
  chunk.due = now() + delay(from, to, pair->port);
  if (!other.queue.empty()) chunk.due = std::max(chunk.due, other.queue.back().due);
  other.queue.push_back(std::move(chunk));
  pump(pair);
}

void FaultRelay::pump(std::shared_ptr<Pair> const& pair) {
  if (pairs.count(pair) == 0) return;
  if (!give(pair, pair->upstream, pair->from, pair->to)) return;
  give(pair, pair->downstream, pair->to, pair->from);
}

// Gives a side what is due for it; false once the connection is no more.
bool FaultRelay::give(std::shared_ptr<Pair> const& pair, Side& side, std::string const& from, std::string const& to) {
  while (!side.queue.empty() && side.queue.front().due <= now() && !cut(from, to, pair->port)) {
    if (!side.link || !side.link->connected()) return true;
    Chunk const chunk = std::move(side.queue.front());
    side.queue.pop_front();
    if (!chunk.bytes.empty()) side.link->write(chunk.bytes);
    if (!chunk.end) continue;
    std::shared_ptr<TcpConnection> const link = side.link;
    link->set_callbacks({});
    if (chunk.reset)
      link->close(true);
    else
      link->close_after_flush();
    pairs.erase(pair);
    return false;
  }
  return true;
}

void FaultRelay::drop(std::shared_ptr<Pair> const& pair) {
  pairs.erase(pair);
  for (Side* const side : {&pair->downstream, &pair->upstream}) {
    if (!side->link) continue;
    side->link->set_callbacks({});
    side->link->close(true);
  }
}

void FaultRelay::turn() {
  Micros const at = now();
  std::erase_if(faults, [at](LinkFault const& fault) { return fault.until <= at; });
  std::vector<std::shared_ptr<Pair>> const all(pairs.begin(), pairs.end());
  for (std::shared_ptr<Pair> const& pair : all) {
    if (!pair->dialled) dial(pair);
    if (!pair->downstream.queue.empty() || !pair->upstream.queue.empty()) pump(pair);
  }
}

}  // namespace pipit::platform_fleet
