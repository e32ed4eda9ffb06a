// The applied orders of operators that the register's value remembers, to recognize repeated orders
// (docs/control.md, "Orders that come again").
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "base/error.h"
#include "wire_generated.h"

namespace pipit {

// More than one day at the planned 3,400 changes; each order takes 24 bytes.
constexpr std::size_t max_remembered_orders = 4096;

// The serial at which an order was applied; 0 if the value does not remember the order.
std::uint64_t serial_of_order(wire::ValueT const& value, std::string const& id);
// Adds the order that produced the value's present serial and label, and forgets the oldest beyond the limit.
void remember_order(wire::ValueT& value, std::string const& id);
// Whether an order with this base may have been applied and forgotten since. Such an order cannot be refused.
bool order_may_be_forgotten(wire::ValueT const& value, std::uint64_t based_on_label, std::uint64_t based_on_serial,
                            bool by_label);
// The status of an operator's order relative to a value.
enum class OrderStatus : std::uint8_t {
  applicable,          // the order is based on the present value
  already_taken,       // the value remembers the order
  possibly_forgotten,  // the order may have been applied and forgotten since: its outcome is unknown
  base_in_future,      // based on a label above the present one: a late copy of the order may still be applied
  base_outdated,       // based on another label or serial: the order was not applied and never will be
};
// The version that an order is based on: a label, or a serial if the operator gives no labels.
struct OrderBase {
  std::uint64_t expected = 0;
  bool by_label = true;
};
// The status of the order `id` with this base relative to a value.
OrderStatus order_status(wire::ValueT const& value, std::string const& id, OrderBase const& base);
// The error for an order that can be neither confirmed nor refused; nullopt for every other status.
std::optional<Error> unknown_outcome_error(wire::ValueT const& value, OrderStatus status);
// The error for an order whose base is outdated.
Error stale_base_error(wire::ValueT const& value, bool by_label);
// Converts the remembered orders of a record of format 1 to the present format.
void migrate_format_1_orders(wire::ValueT& value);

}  // namespace pipit
