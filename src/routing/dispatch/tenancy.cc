// API keys and tenants' quotas on the path of a request (docs/tenants.md).
#include "base/invariants.h"
#include "routing/dispatch/dispatcher.h"

namespace pipit {

namespace {
constexpr Micros unconfirmed_wait = millis(300);
constexpr Micros unreachable_wait = millis(300);
constexpr Micros over_quota_wait_min = millis(100);
constexpr Micros over_quota_wait_max = seconds(5);
constexpr Micros quota_wait_min = millis(80);
constexpr Micros quota_wait_max = millis(400);
}  // namespace

// Why the key of a request does not authorize it; nothing if it does. A key that is not found is reported as unknown
// only while the configuration is certain to be the newest, and as unconfirmed otherwise.
std::optional<ErrorCode> Dispatcher::key_error(Request const& request, Description const& by, Micros now) const {
  if (!by.keys_required) return std::nullopt;
  if (!lease_->valid(now)) return ErrorCode::unconfirmed;
  bool const known = request.info.key_digest && by.find_tenant_by_key(*request.info.key_digest) != nullptr;
  if (known || request.route->is_public) return std::nullopt;
  return lease_->unknown_is_certain(now) ? ErrorCode::unknown_key : ErrorCode::unconfirmed;
}

bool Dispatcher::authorize(Request& request, Micros now, DispatchEffects& out) {
  if (std::optional<ErrorCode> const error = key_error(request, *rules_, now)) {
    reject_unauthorized(request, *error, now, out);
    return false;
  }
  request.configuration_confirmed_at = lease_->confirmed_at();
  if (!rules_->keys_required || !request.info.key_digest) return true;
  Tenant const* const tenant = rules_->find_tenant_by_key(*request.info.key_digest);
  if (tenant == nullptr) return true;
  request.tenant = tenant->name;
  request.quota_count =
      quota_count(*tenant, request.info.has_token_counts, request.info.input_tokens + request.info.output_tokens);
  return true;
}

// Checks the key of a request that has waited again, by the current configuration.
bool Dispatcher::reauthorize(Request& request, Micros now, DispatchEffects& out) {
  if (std::optional<ErrorCode> const error = key_error(request, *rules_, now)) {
    reject_unauthorized(request, *error, now, out);
    return false;
  }
  request.configuration_confirmed_at = lease_->confirmed_at();
  Tenant const* const tenant =
      rules_->keys_required && request.info.key_digest ? rules_->find_tenant_by_key(*request.info.key_digest) : nullptr;
  request.tenant = tenant == nullptr ? "" : tenant->name;
  return true;
}

// Ends a request that is not authorized to be sent to a worker, or not to be retried.
void Dispatcher::reject_unauthorized(Request& request, ErrorCode error, Micros now, DispatchEffects& out) {
  ++(error == ErrorCode::unknown_key ? counters.unknown_keys : counters.unconfirmed);
  if (request.answer_begun) return abort_answer(request, now, out);
  if (request.may_have_run && !request.repeatable) return reject(request, ErrorCode::worker_broke, 0, now, out);
  reject(request, error, error == ErrorCode::unconfirmed ? unconfirmed_wait : 0, now, out);
}

void Dispatcher::request_quota(Request& request, Micros now, DispatchEffects& out) {
  if (request.tenant.empty() || request.quota_count <= 0) return;
  Tenant const* const tenant = rules_->find_tenant_by_key(*request.info.key_digest);
  if (tenant == nullptr || !tenant->limited()) return;
  ++tenant_counters[request.tenant].quota_requests;
  request.quota_state = QuotaState::requested;
  Micros const wait = std::clamp(request.route->latency_target / 2, quota_wait_min, quota_wait_max);
  out.quota_claims.push_back(
      {request.id, request.tenant, request.quota_count, std::min(now + wait, request.deadline), false});
}

void Dispatcher::debit_retry_quota(Request const& request, DispatchEffects& out) const {
  if (request.quota_state != QuotaState::granted || request.sends == 0) return;
  out.quota_claims.push_back({request.id, request.tenant, request.quota_count, 0, true});
}

void Dispatcher::quota_result(QuotaResult const& result, Micros now, DispatchEffects& out) {
  std::map<std::uint64_t, std::unique_ptr<Request>>::iterator const position = requests_.find(result.request);
  if (position == requests_.end() || position->second->quota_state != QuotaState::requested) return;
  Request& request = *position->second;
  request.quota_state = QuotaState::granted;
  if (result.type == QuotaResult::Type::granted) {
    request.placement_deadline =
        std::max(request.placement_deadline, std::min(request.deadline, now + request.route->latency_target / 10));
    return place_if_authorized(request, now, out);
  }
  TenantCounters& tenant = tenant_counters[request.tenant];
  if (result.type == QuotaResult::Type::unreachable) {
    ++tenant.unreachable;
    return reject(request, ErrorCode::no_quota, unreachable_wait, now, out);
  }
  ++tenant.refused;
  ++counters.over_quota;
  reject(request, ErrorCode::over_quota, std::clamp(result.wait, over_quota_wait_min, over_quota_wait_max), now, out);
}

std::int64_t Dispatcher::rank_of(Request const& request) const {
  Tenant const* const tenant = request.tenant.empty() ? nullptr : rules_->find_tenant(request.tenant);
  return rules_->rank_of(*request.route, tenant);
}

// Checks the invariant for a request of which a byte is about to leave. The client sent the request before its arrival,
// so its arrival is the moment for which the configuration with its key must have been confirmed.
void Dispatcher::check_key(Request const& request) const {
  if (!lease_->required() || !request.rules->keys_required) return;
  bool const confirmed = request.arrived_at - request.configuration_confirmed_at <= lease_->duration;
  check_invariant(confirmed, Invariant::key_confirmed, [&] {
    return "request " + std::to_string(request.id) + " arrived " +
           std::to_string((request.arrived_at - request.configuration_confirmed_at) / 1000) +
           " ms after the last confirmation of the configuration";
  });
}

}  // namespace pipit
