#include "config/description/description.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace pipit {

namespace {
constexpr std::int64_t max_rank = 9;  // the lowest priority that a worker accepts

// Returns how many of the numbers are smaller.
std::size_t count_below(std::set<std::int64_t> const& numbers, std::int64_t number) {
  return static_cast<std::size_t>(std::distance(numbers.begin(), numbers.lower_bound(number)));
}
}  // namespace

Pool const* Description::find_pool(std::string_view name) const {
  for (Pool const& item : pools)
    if (item.name == name) return &item;
  return nullptr;
}

std::string lowercase_host(std::string_view host) {
  std::string out(host);
  for (char& c : out) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return out;
}

Route const* Description::find_route(std::string_view host, std::string_view path) const {
  std::unordered_map<std::string, std::vector<std::size_t>>::const_iterator const host_routes =
      routes_by_host.find(lowercase_host(host));
  if (host_routes == routes_by_host.end()) return nullptr;
  Route const* best = nullptr;
  for (std::size_t const index : host_routes->second) {
    Route const& item = routes[index];
    if (path.substr(0, item.prefix.size()) != item.prefix) continue;
    if (best == nullptr || best->prefix.size() < item.prefix.size()) best = &item;
  }
  return best;
}

Tenant const* Description::find_tenant_by_key(Digest const& key) const {
  std::map<Digest, std::size_t>::const_iterator const position = tenants_by_key.find(key);
  return position == tenants_by_key.end() ? nullptr : &tenants[position->second];
}

Tenant const* Description::find_tenant(std::string_view name) const {
  for (Tenant const& item : tenants)
    if (item.name == name) return &item;
  return nullptr;
}

std::int64_t Description::rank_of(Route const& route, Tenant const* tenant) const {
  if (tenant == nullptr) return std::min(route.rank, max_rank);
  std::size_t const steps = std::max<std::size_t>(1, route_ranks.size());
  std::size_t const route_index = count_below(route_ranks, route.rank);
  std::size_t const tenant_index = count_below(tenant_ranks, tenant->rank);
  std::size_t const combinations = steps * std::max<std::size_t>(1, tenant_ranks.size());
  std::size_t const position = tenant_index * steps + route_index;
  // With more combinations than numbers, adjacent combinations share a number.
  std::size_t const numbers = static_cast<std::size_t>(max_rank) + 1;
  return static_cast<std::int64_t>(combinations <= numbers ? position : position * numbers / combinations);
}

Lane const* Description::find_lane(std::string_view name) const {
  for (Lane const& item : lanes)
    if (item.name == name) return &item;
  return nullptr;
}

}  // namespace pipit
