#include "consensus/register/orders.h"

#include <algorithm>

#include "base/digest.h"

namespace pipit {

namespace {
bool has_id(wire::Order const& order, Digest const& id) {
  return order.id_high() == id.high && order.id_low() == id.low;
}

// Drops the oldest remembered order. Orders with a base older than its label or serial count as forgotten from now on.
void forget_oldest_order(wire::ValueT& value) {
  value.forgotten_serial = value.serial - value.orders.size() + 1;
  value.forgotten_label = std::max(value.forgotten_label, value.orders.front().label());
  value.orders.erase(value.orders.begin());
}
}  // namespace

std::uint64_t serial_of_order(wire::ValueT const& value, std::string const& id) {
  if (id.empty()) return 0;
  Digest const digest = digest_of(id);
  std::size_t const count = value.orders.size();
  for (std::size_t i = count; i-- > 0;)
    if (has_id(value.orders[i], digest)) return value.serial - (count - 1 - i);
  return 0;
}

void remember_order(wire::ValueT& value, std::string const& id) {
  Digest const digest = digest_of(id);
  value.orders.emplace_back(digest.high, digest.low, value.label);
  while (value.orders.size() > max_remembered_orders) forget_oldest_order(value);
}

bool order_may_be_forgotten(wire::ValueT const& value, std::uint64_t based_on_label, std::uint64_t based_on_serial,
                            bool by_label) {
  if (value.forgotten_serial == 0) return false;
  return by_label ? based_on_label < value.forgotten_label : based_on_serial < value.forgotten_serial;
}

OrderStatus order_status(wire::ValueT const& value, std::string const& id, OrderBase const& base) {
  if (serial_of_order(value, id) > 0) return OrderStatus::already_taken;
  if (order_may_be_forgotten(value, base.expected, base.expected, base.by_label))
    return OrderStatus::possibly_forgotten;
  std::uint64_t const present = base.by_label ? value.label : value.serial;
  if (present == base.expected) return OrderStatus::applicable;
  return base.by_label && present < base.expected ? OrderStatus::base_in_future : OrderStatus::base_outdated;
}

std::optional<Error> unknown_outcome_error(wire::ValueT const& value, OrderStatus status) {
  if (status == OrderStatus::possibly_forgotten)
    return Error{ErrorCode::change_unknown, "the order is based on a label or serial older than the remembered orders",
                 ""};
  if (status == OrderStatus::base_in_future)
    return Error{ErrorCode::change_unknown,
                 "the order is based on a label above the present label " + std::to_string(value.label), ""};
  return std::nullopt;
}

Error stale_base_error(wire::ValueT const& value, bool by_label) {
  std::string const present =
      by_label ? "label is " + std::to_string(value.label) : "serial is " + std::to_string(value.serial);
  return Error{ErrorCode::stale_serial, "the present " + present, ""};
}

void migrate_format_1_orders(wire::ValueT& value) {
  if (!value.orders.empty() || value.change.empty()) {
    value.past.clear();
    return;
  }
  // The serials of format 1 are consecutive. Orders before a gap would get wrong serials and are dropped.
  std::uint64_t expected = value.serial - value.past.size();
  for (std::unique_ptr<wire::RememberedChangeT> const& remembered : value.past) {
    if (remembered->serial != expected++) {
      value.orders.clear();
      continue;
    }
    Digest const digest = digest_of(remembered->change);
    value.orders.emplace_back(digest.high, digest.low, value.label);
  }
  Digest const digest = digest_of(value.change);
  value.orders.emplace_back(digest.high, digest.low, value.label);
  value.forgotten_serial = value.serial - value.orders.size();
  value.forgotten_label = value.forgotten_serial > 0 ? value.label : 0;
  value.past.clear();
}

}  // namespace pipit
