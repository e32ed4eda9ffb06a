// The description of the fleet: its pools, lanes, routes and limits, checked and compiled (§5.1).
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/digest.h"
#include "config/rules/rules.h"

namespace pipit {

// Workers that serve one model.
struct Pool {
  std::string name;
  std::string model;
  std::int64_t slots = 60;                   // requests that one worker runs at once, unless the list says otherwise
  std::int64_t cold_rate = 4;                // sends in one second that a cold worker bears
  Micros cold_period = seconds(10);          // for how long a woken worker counts as cold
  std::int64_t cache_blocks = 4096;          // blocks of prompt that one worker is believed to keep
  Micros cache_ttl = seconds(900);           // for how long it is believed to
  Micros block_cost = 3000;                  // time to read one block that is not kept
  Micros initial_service_time = seconds(2);  // how long a request holds a slot, to begin with
  std::int64_t max_connections = 0;          // that one worker takes from everybody; 0: no bound is named
  std::int64_t cache_tokens = 0;             // tokens that one worker keeps and runs in; 0: not named
  std::int64_t tokens_per_event = 1;         // tokens in one event of a stream
};

// Requests that one policy treats alike, and the pools that serve them (§5.2).
struct Lane {
  std::string name;
  Binding binding;
  Policy policy;
};

// Which requests by host and path go to which pools, and what they may expect (§12.4).
struct Route {
  struct Share {
    std::string pool;
    std::int64_t weight = 1;
  };
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  std::vector<Share> shares;
  bool repeatable = false;               // may run more than once
  bool streams = false;                  // answers with a series of events
  bool resumable = false;                // a stream may go on at another worker
  Micros request_timeout = seconds(30);  // from the arrival of a request until it is given up
  Micros latency_target = seconds(1);
  Micros max_event_gap = 0;  // the longest pause between events that keeps an answer in time; 0: none is named
  std::int64_t rank = 0;     // 0 comes first
  std::int64_t max_attempts = 1;
  bool is_public = false;  // needs no key where others do
};

// What a tenant's limit counts.
enum class CountingUnit : std::uint8_t { requests, tokens };

// Whose requests come with which keys, and how many of them there may be (docs/tenants.md).
struct Tenant {
  std::string name;
  std::vector<Digest> keys;  // digests, by key_digest_of()
  std::int64_t rank = 0;     // 0 comes first; it goes before the rank of a route
  CountingUnit unit = CountingUnit::requests;
  std::int64_t default_tokens = 0;  // that a request counts for if it names no tokens
  std::int64_t rate = 0;            // a second, over all nodes; 0: no limit
  std::int64_t burst = 0;           // above the rate
  bool limited() const { return rate > 0; }
};

// What callers may send and how long they may take (§12.4).
struct CallLimits {
  std::int64_t max_header_bytes = 16384;
  std::int64_t max_body_bytes = 4 << 20;
  Micros header_timeout = seconds(10);
  Micros idle_timeout = seconds(60);
};

// A description that was read and checked; it does not change any more, so that threads may share it.
struct Description {
  std::vector<Pool> pools;
  std::vector<Lane> lanes;
  std::vector<Route> routes;
  std::vector<Tenant> tenants;
  bool keys_required = false;  // a request on a route that is not public needs the key of a tenant
  CallLimits limits;
  std::string source;                 // what the description was made from, kept as it came; opaque here
  Micros locality_cost = millis(40);  // what sending to another zone is held to cost
  Pool const* find_pool(std::string_view name) const;
  Lane const* find_lane(std::string_view name) const;
  // Among the routes of the host the one with the longest prefix that begins the path; nullptr for none.
  Route const* find_route(std::string_view host, std::string_view path) const;
  // Who holds the key of that digest; nullptr for nobody.
  Tenant const* find_tenant_by_key(Digest const& key) const;
  Tenant const* find_tenant(std::string_view name) const;
  // The rank of a tenant's request on a route, 0 to 9: the tenant's own goes first, then the route's.
  std::int64_t rank_of(Route const& route, Tenant const* tenant) const;

  // Made by DescriptionBuilder: where the routes of a host, in lower case, and the tenant of a key stand.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
  std::map<Digest, std::size_t> tenants_by_key;
  std::set<std::int64_t> route_ranks;
  std::set<std::int64_t> tenant_ranks;
};

// Hosts are compared without regard to the case of their letters.
std::string lowercase_host(std::string_view host);

constexpr std::size_t description_limit = 5u << 20;

// Makes a description of a text that the register holds.
using DescriptionReader = std::function<Result<std::shared_ptr<Description const>>(std::string_view)>;

// Reads and checks the JSON text of a description: the check of `pipitspoolctl check` and of every node that proposes
// or learns one. Errors are too_large, bad_json, bad_description and bad_language, with the place of the fault.
Result<std::shared_ptr<Description const>> read_description(std::string_view text);

}  // namespace pipit
