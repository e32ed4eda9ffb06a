// The description of the fleet: its pools, lanes, routes, tenants and limits, validated and compiled (§5.1).
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

// A pool of workers. Chat requests are for the pool's model; routed requests state their own, which may be several in
// one pool.
struct Pool {
  std::string name;
  std::string model;
  std::int64_t slots = 60;                   // concurrent requests per worker, unless the platform's list sets a number
  std::int64_t cold_rate = 4;                // requests per second that a cold worker can take
  Micros cold_period = seconds(10);          // time for which a started worker counts as cold
  std::int64_t cache_blocks = 4096;          // prompt blocks that one worker is estimated to cache
  Micros cache_ttl = seconds(900);           // time after which a cached block is assumed to be evicted
  Micros block_cost = 3000;                  // time to process one prompt block that is not cached
  Micros initial_service_time = seconds(2);  // assumed service time until one is measured
  std::int64_t max_connections = 0;          // connections per worker, from all nodes together; 0: not limited
  std::int64_t cache_tokens = 0;             // tokens of cached and running requests per worker; 0: unknown
  std::int64_t tokens_per_event = 1;         // tokens per event of a stream
};

// A class of chat requests with one policy and the pools that serve it (§5.2). A request must meet the binding's
// condition; it may name its lane, or else the first lane that matches is taken. Higher urgency is served first, unlike
// the rank of routes and tenants.
struct Lane {
  std::string name;
  Binding binding;
  Policy policy;
};

// Maps routed HTTP requests by host and path prefix to pools, and sets their timeouts and retry limits (§12.4).
struct Route {
  // The weight of one pool in the distribution of requests.
  struct Share {
    std::string pool;
    std::int64_t weight = 1;
  };
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  std::vector<Share> shares;
  bool repeatable = false;               // whether a request may run more than once
  bool streams = false;                  // whether answers are event streams
  bool resumable = false;                // whether a broken stream may continue at another worker
  Micros request_timeout = seconds(30);  // from the arrival of a request until it fails
  Micros latency_target = seconds(1);
  Micros max_event_gap = 0;       // target for the longest pause between two events, not a limit; 0: no target
  std::int64_t rank = 0;          // priority; 0 is served first, unlike a lane's urgency
  std::int64_t max_attempts = 1;  // including the first one
  bool is_public = false;         // whether no key is needed even if the description requires keys
};

// The unit in which a tenant's limit is counted.
enum class CountingUnit : std::uint8_t { requests, tokens };

// A tenant: its API keys, its priority and its rate limit (docs/tenants.md).
struct Tenant {
  std::string name;
  std::vector<Digest> keys;  // digests of the API keys, by key_digest_of() (base/key_digest.h), not digest_of()
  std::int64_t rank = 0;     // priority; 0 is served first; compared before the rank of a route
  CountingUnit unit = CountingUnit::requests;
  std::int64_t default_tokens = 0;  // counted for a request that states no number of tokens
  std::int64_t rate = 0;            // units per second over all nodes; 0: no limit
  std::int64_t burst = 0;           // units beyond the rate that may be used at once; sets the token bucket's size
  // Whether the tenant has a rate limit.
  bool limited() const { return rate > 0; }
};

// Limits on the requests of clients (§12.4).
struct CallLimits {
  std::int64_t max_header_bytes = 16384;
  std::int64_t max_body_bytes = 4 << 20;
  Micros header_timeout = seconds(10);  // for the complete header
  Micros idle_timeout = seconds(60);    // between two requests on a connection
};

// A validated description. Immutable once DescriptionBuilder has finished it, so that threads can share it.
struct Description {
  std::vector<Pool> pools;
  std::vector<Lane> lanes;
  std::vector<Route> routes;
  std::vector<Tenant> tenants;
  bool keys_required = false;  // whether requests need a tenant's key, except on public routes
  CallLimits limits;
  std::string source;                 // the text that the description was generated from; not interpreted here
  Micros locality_cost = millis(40);  // estimated cost of sending a request to another zone
  // Each find function returns nullptr if there is no match. The description owns the result.
  Pool const* find_pool(std::string_view name) const;
  Lane const* find_lane(std::string_view name) const;
  // Returns the route of the host with the longest prefix of the path.
  Route const* find_route(std::string_view host, std::string_view path) const;
  // Returns the tenant that owns the key with this digest.
  Tenant const* find_tenant_by_key(Digest const& key) const;
  Tenant const* find_tenant(std::string_view name) const;
  // Returns the rank (0 to 9; 0 is served first) of a tenant's request on a route: ordered by the tenant's rank, then
  // by the route's. 'tenant' may be null.
  std::int64_t rank_of(Route const& route, Tenant const* tenant) const;

  // Indexes that DescriptionBuilder fills: the routes of each lower-case host, the tenant of each key, and all ranks.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
  std::map<Digest, std::size_t> tenants_by_key;
  std::set<std::int64_t> route_ranks;
  std::set<std::int64_t> tenant_ranks;
};

// Returns the host in lower case: hosts are compared case-insensitively.
std::string lowercase_host(std::string_view host);

constexpr std::size_t description_limit = 5u << 20;  // largest text of a description, in bytes

// Parses the text of a description that the register stores.
using DescriptionReader = std::function<Result<std::shared_ptr<Description const>>(std::string_view)>;

// Parses and validates the JSON text of a description, for `pipitspoolctl check` and for every node that proposes or
// learns one. Errors are too_large, bad_json, bad_description and bad_language, with the location of the fault.
Result<std::shared_ptr<Description const>> read_description(std::string_view text);

}  // namespace pipit
