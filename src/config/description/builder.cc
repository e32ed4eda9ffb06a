#include "config/description/builder.h"

#include <algorithm>

#include "base/key_digest.h"

namespace pipit {

namespace {
constexpr std::size_t max_tenant_name_size = 128;

// Whether a text is a valid tenant name; names are sent to workers as the value of a header field.
bool is_valid_tenant_name(std::string const& name) {
  if (name.empty() || name.size() > max_tenant_name_size) return false;
  return std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}
}  // namespace

Result<void> DescriptionBuilder::add(Pool pool, std::string const& path) {
  if (!pool_names_.insert(pool.name).second)
    return fail(ErrorCode::bad_description, "the pool '" + pool.name + "' is defined twice", path + ".name");
  description_->pools.push_back(std::move(pool));
  return boost::outcome_v2::success();
}

Result<void> DescriptionBuilder::add(Lane lane, std::string const& path) {
  if (!lane_names_.insert(lane.name).second)
    return fail(ErrorCode::bad_description, "the lane '" + lane.name + "' is defined twice", path + ".name");
  description_->lanes.push_back(std::move(lane));
  return boost::outcome_v2::success();
}

Result<void> DescriptionBuilder::add(Route route, std::string const& path) {
  if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/')
    return fail(ErrorCode::bad_description, "the prefix of a route must begin and end with a slash", path + ".prefix");
  std::int64_t weights = 0;
  for (Route::Share const& share : route.shares) {
    if (!has_pool(share.pool)) return fail(ErrorCode::bad_description, "there is no pool '" + share.pool + "'", path);
    weights += share.weight;
  }
  if (weights <= 0)
    return fail(ErrorCode::bad_description, "the weights of the route's shares add up to 0", path + ".shares");
  if (route.request_timeout <= 0)
    return fail(ErrorCode::bad_description, "the request timeout of a route must be above 0", path + ".hold_ms");
  if (!route_names_.insert(route.name).second)
    return fail(ErrorCode::bad_description, "the route '" + route.name + "' is defined twice", path + ".name");
  std::string const host = lowercase_host(route.host);
  if (!route_keys_.insert(host + " " + route.prefix).second)
    return fail(ErrorCode::bad_description, "two routes have the same host and prefix", path);
  description_->route_ranks.insert(route.rank);
  description_->routes_by_host[host].push_back(description_->routes.size());
  description_->routes.push_back(std::move(route));
  return boost::outcome_v2::success();
}

Result<void> DescriptionBuilder::add(Tenant tenant, std::string const& path) {
  require_keys();
  if (!is_valid_tenant_name(tenant.name))
    return fail(ErrorCode::bad_description,
                "a tenant's name is 1 to " + std::to_string(max_tenant_name_size) + " visible ASCII characters",
                path + ".name");
  if (!tenant_names_.insert(tenant.name).second)
    return fail(ErrorCode::bad_description, "the tenant '" + tenant.name + "' is defined twice", path + ".name");
  std::size_t const index = description_->tenants.size();
  for (Digest const& key : tenant.keys) {
    std::map<Digest, std::size_t>::const_iterator const other = description_->tenants_by_key.find(key);
    if (other != description_->tenants_by_key.end() && other->second != index)
      return fail(ErrorCode::bad_description,
                  "the key " + abbreviated_digest(key) + " of tenant '" + tenant.name + "' is also one of tenant '" +
                      description_->tenants[other->second].name + "'",
                  path + ".keys");
    description_->tenants_by_key[key] = index;
  }
  description_->tenant_ranks.insert(tenant.rank);
  description_->tenants.push_back(std::move(tenant));
  return boost::outcome_v2::success();
}

Result<std::shared_ptr<Description const>> DescriptionBuilder::finish() {
  if (description_->keys_required && !description_->lanes.empty())
    return fail(ErrorCode::bad_description,
                "lanes do not support keys: a description with tenants may have routes only", "$.tenants");
  for (std::size_t i = 0; i < description_->lanes.size(); ++i) {
    std::string const path = "$.lanes[" + std::to_string(i) + "].binding";
    std::string model;
    for (Binding::Choice const& choice : description_->lanes[i].binding.pools) {
      Pool const* const pool = description_->find_pool(choice.pool);
      if (pool == nullptr) return fail(ErrorCode::bad_description, "there is no pool '" + choice.pool + "'", path);
      if (!model.empty() && model != pool->model)
        return fail(ErrorCode::bad_description, "the lane's pools serve different models", path);
      model = pool->model;
    }
  }
  return std::shared_ptr<Description const>(std::move(description_));
}

}  // namespace pipit
