// Keys and limits of tenants on the path of a request (docs/tenants.md).
#include "base/invariants.h"
#include "routing/dispatch/dispatcher.h"

namespace pipit {

namespace {
constexpr Micros unconfirmed_wait = millis(300);
constexpr Micros unreachable_wait = millis(300);
constexpr Micros refused_wait_least = millis(100);
constexpr Micros refused_wait_most = seconds(5);
constexpr Micros asking_least = millis(80);
constexpr Micros asking_most = millis(400);
}  // namespace

// Why the key of a request does not let it run; nothing when it does. A key is unknown for sure only while the
// configuration is known to be new.
std::optional<ErrorCode> Dispatcher::key_error(Request const& request, Description const& by, Micros now) const {
  if (!by.keys_required) return std::nullopt;
  if (!lease_->valid(now)) return ErrorCode::unconfirmed;
  bool const known = request.query.key && by.tenant_of(*request.query.key) != nullptr;
  if (known || request.route->is_public) return std::nullopt;
  return lease_->unknown_is_certain(now) ? ErrorCode::unknown_key : ErrorCode::unconfirmed;
}

bool Dispatcher::authorize(Request& request, Micros now, DispatchEffects& out) {
  if (std::optional<ErrorCode> const error = key_error(request, *rules_, now)) {
    withdraw(request, *error, now, out);
    return false;
  }
  request.confirmed = lease_->confirmed_at();
  if (!rules_->keys_required || !request.query.key) return true;
  Tenant const* const tenant = rules_->tenant_of(*request.query.key);
  if (tenant == nullptr) return true;
  request.tenant = tenant->name;
  request.count = quota_count(*tenant, request.query.names_tokens, request.query.tokens_in + request.query.tokens_out);
  return true;
}

// Whatever waited is looked at again under the configuration that is in force by now.
bool Dispatcher::still_authorized(Request& request, Micros now, DispatchEffects& out) {
  if (std::optional<ErrorCode> const error = key_error(request, *rules_, now)) {
    withdraw(request, *error, now, out);
    return false;
  }
  request.confirmed = lease_->confirmed_at();
  Tenant const* const tenant =
      rules_->keys_required && request.query.key ? rules_->tenant_of(*request.query.key) : nullptr;
  request.tenant = tenant == nullptr ? "" : tenant->name;
  return true;
}

// It must not be sent to a worker, or not once more.
void Dispatcher::withdraw(Request& request, ErrorCode kind, Micros now, DispatchEffects& out) {
  ++(kind == ErrorCode::unknown_key ? tally.unknown_keys : tally.unconfirmed);
  if (request.begun) return break_off(request, now, out);
  if (request.may_have_run && !request.repeatable) return reject(request, ErrorCode::worker_broke, 0, now, out);
  reject(request, kind, kind == ErrorCode::unconfirmed ? unconfirmed_wait : 0, now, out);
}

void Dispatcher::need_quota(Request& request, Micros now, DispatchEffects& out) {
  if (request.tenant.empty() || request.count <= 0) return;
  Tenant const* const tenant = rules_->tenant_of(*request.query.key);
  if (tenant == nullptr || !tenant->limited()) return;
  ++tenant_tallies[request.tenant].asked;
  request.quota = QuotaState::asked;
  Micros const patience = std::clamp(request.route->latency_target / 2, asking_least, asking_most);
  out.quota_needs.push_back({request.id, request.tenant, request.count, std::min(now + patience, request.due), false});
}

void Dispatcher::count_retry(Request const& request, DispatchEffects& out) const {
  if (request.quota != QuotaState::granted || request.sends == 0) return;
  out.quota_needs.push_back({request.id, request.tenant, request.count, 0, true});
}

void Dispatcher::quota_result(QuotaResult const& result, Micros now, DispatchEffects& out) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(result.request);
  if (position == requests_.end() || position->second->quota != QuotaState::asked) return;
  Request& request = *position->second;
  request.quota = QuotaState::granted;
  if (result.type == QuotaResult::Type::granted) {
    request.give_up = std::max(request.give_up, std::min(request.due, now + request.route->latency_target / 10));
    return place_if_authorized(request, now, out);
  }
  TenantTally& tenant = tenant_tallies[request.tenant];
  if (result.type == QuotaResult::Type::unreachable) {
    ++tenant.unreachable;
    return reject(request, ErrorCode::no_quota, unreachable_wait, now, out);
  }
  ++tenant.refused;
  ++tally.over_quota;
  reject(request, ErrorCode::over_quota, std::clamp(result.wait, refused_wait_least, refused_wait_most), now, out);
}

std::int64_t Dispatcher::rank_of(Request const& request) const {
  Tenant const* const tenant = request.tenant.empty() ? nullptr : rules_->tenant(request.tenant);
  return rules_->rank_of(*request.route, tenant);
}

// A byte of the request is about to leave. Its caller had sent it when it came, so that is the moment at which the
// configuration that knows its key must have been new enough.
void Dispatcher::check_key(Request const& request) const {
  if (!lease_->required() || !request.rules->keys_required) return;
  bool const confirmed = request.arrived_at - request.confirmed <= lease_->duration;
  check_invariant(confirmed, Invariant::key_confirmed, [&] {
    return "request " + std::to_string(request.id) + " came " +
           std::to_string((request.arrived_at - request.confirmed) / 1000) +
           " ms after the configuration was known to be new";
  });
}

}  // namespace pipit
