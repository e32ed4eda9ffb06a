// Builds a description from typed items and checks them against each other: duplicate names, unknown names, routes with
// the same host and prefix, keys shared by two tenants. The readers of all configuration languages use it.
#pragma once
#include <memory>
#include <string>
#include <unordered_set>

#include "base/error.h"
#include "config/description/description.h"

namespace pipit {

// Holds the description under construction and the names in it. Items may be added in any order, except that a route
// must follow the pools that it names. The builder must not be used after an error.
class DescriptionBuilder {
 public:
  // Each adds one item. 'path' is the location of the item in the text, for error messages.
  Result<void> add(Pool pool, std::string const& path);
  Result<void> add(Lane lane, std::string const& path);
  // The pools of the route must have been added before.
  Result<void> add(Route route, std::string const& path);
  Result<void> add(Tenant tenant, std::string const& path);
  // Makes requests need a tenant's key, even if no tenant is added.
  void require_keys() { description_->keys_required = true; }
  // Set fields of the description that need no check.
  void set_limits(CallLimits const& limits) { description_->limits = limits; }
  void set_source(std::string text) { description_->source = std::move(text); }
  void set_locality_cost(Micros cost) { description_->locality_cost = cost; }
  // Whether a pool of this name was added.
  bool has_pool(std::string const& name) const { return pool_names_.count(name) > 0; }
  // Checks the lanes and returns the finished description.
  Result<std::shared_ptr<Description const>> finish();

 private:
  std::shared_ptr<Description> description_ = std::make_shared<Description>();
  std::unordered_set<std::string> pool_names_;
  std::unordered_set<std::string> lane_names_;
  std::unordered_set<std::string> route_names_;
  std::unordered_set<std::string> route_keys_;
  std::unordered_set<std::string> tenant_names_;
};

}  // namespace pipit
