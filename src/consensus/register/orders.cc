#include "consensus/register/orders.h"

#include <algorithm>

#include "base/digest.h"

namespace pipit {

namespace {
bool is_order(wire::Order const& order, Digest const& id) {
  return order.id_high() == id.high && order.id_low() == id.low;
}

// Orders that are based on an older label, or serial, than the oldest order put in place are forgotten with it.
void forget_oldest(wire::ValueT& value) {
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
    if (is_order(value.orders[i], digest)) return value.serial - (count - 1 - i);
  return 0;
}

void remember_order(wire::ValueT& value, std::string const& id) {
  Digest const digest = digest_of(id);
  value.orders.emplace_back(digest.high, digest.low, value.label);
  while (value.orders.size() > orders_remembered) forget_oldest(value);
}

bool order_may_be_forgotten(wire::ValueT const& value, std::uint64_t based_on_label, std::uint64_t based_on_serial,
                            bool by_label) {
  if (value.forgotten_serial == 0) return false;
  return by_label ? based_on_label < value.forgotten_label : based_on_serial < value.forgotten_serial;
}

OrderStanding standing_of_order(wire::ValueT const& value, std::string const& id, OrderBase const& base) {
  if (serial_of_order(value, id) > 0) return OrderStanding::taken;
  if (order_may_be_forgotten(value, base.expected, base.expected, base.by_label)) return OrderStanding::forgotten;
  std::uint64_t const present = base.by_label ? value.label : value.serial;
  if (present == base.expected) return OrderStanding::fits;
  return base.by_label && present < base.expected ? OrderStanding::early : OrderStanding::outdated;
}

std::optional<Error> unknown_outcome_of_order(wire::ValueT const& value, OrderStanding standing) {
  if (standing == OrderStanding::forgotten)
    return Error{ErrorCode::change_unknown, "it builds on a label or serial from before what is remembered", ""};
  if (standing == OrderStanding::early)
    return Error{ErrorCode::change_unknown, "it builds on a label above the present " + std::to_string(value.label),
                 ""};
  return std::nullopt;
}

Error outdated_error(wire::ValueT const& value, bool by_label) {
  std::string const present =
      by_label ? "label is " + std::to_string(value.label) : "serial is " + std::to_string(value.serial);
  return Error{ErrorCode::stale_serial, "the present " + present, ""};
}

void convert_old_orders(wire::ValueT& value) {
  if (!value.orders.empty() || value.change.empty()) {
    value.past.clear();
    return;
  }
  // The serials of format 1 follow one another without a gap; a gap would end what can be kept.
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
