// Puts a description together from typed items and checks what holds between them: names that stand twice, names that
// lead nowhere, routes with one host and prefix, keys of two tenants. Every reader of a configuration language ends
// here.
#pragma once
#include <memory>
#include <string>
#include <unordered_set>

#include "base/error.h"
#include "config/description/description.h"

namespace pipit {

// State: the description so far with the names in it. Items may be added in any order but for the pools that a route
// names. After an error the builder is not used any more.
class DescriptionBuilder {
 public:
  // 'path' is where the item stands in the text, for the fault.
  Result<void> add(Pool pool, std::string const& path);
  Result<void> add(Lane lane, std::string const& path);
  // The pools that it names were added before it.
  Result<void> add(Route route, std::string const& path);
  Result<void> add(Tenant tenant, std::string const& path);
  // From here on a request needs a tenant's key, though no tenant may have been added.
  void require_keys() { description_->keys_required = true; }
  void set_limits(CallLimits const& limits) { description_->limits = limits; }
  void set_source(std::string text) { description_->source = std::move(text); }
  void set_locality_cost(Micros cost) { description_->locality_cost = cost; }
  bool has_pool(std::string const& name) const { return pool_names_.count(name) > 0; }
  // Checks the lanes, and hands the description over.
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
