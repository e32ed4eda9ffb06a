// The operators' orders that a register's value remembers as taken, so that one that is sent again is known
// (docs/control.md, "Orders that come again").
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "base/error.h"
#include "wire_generated.h"

namespace pipit {

// More than a day of the planned 3,400 changes; 24 bytes each.
constexpr std::size_t max_remembered_orders = 4096;

// The serial that an order was taken under; 0 when the value does not remember it.
std::uint64_t serial_of_order(wire::ValueT const& value, std::string const& id);
// Adds the order that the value's present serial and label come from.
void remember_order(wire::ValueT& value, std::string const& id);
// Whether an order with this base may have been taken and forgotten since. Then nobody can say that it was not taken.
bool order_may_be_forgotten(wire::ValueT const& value, std::uint64_t based_on_label, std::uint64_t based_on_serial,
                            bool by_label);
// What a value says of an operator's order that builds on a label (or on a serial, where there is none).
enum class OrderStatus : std::uint8_t {
  applicable,          // it may be tried
  already_taken,       // it was taken
  possibly_forgotten,  // it may have been taken and forgotten since: nobody can say
  base_in_future,      // it builds on a label that is still to come: a late copy of it may yet be taken
  base_outdated,       // it builds on another label or serial, and neither was nor will be taken
};
// What an order builds on: a label, or a serial where the operator gives no labels.
struct OrderBase {
  std::uint64_t expected = 0;
  bool by_label = true;
};
OrderStatus order_status(wire::ValueT const& value, std::string const& id, OrderBase const& base);
// The unclear answer to an order of which neither "taken" nor "refused" can be said; nothing for other standings.
std::optional<Error> unknown_outcome_error(wire::ValueT const& value, OrderStatus status);
// The refusal of an outdated order.
Error stale_base_error(wire::ValueT const& value, bool by_label);
// Moves what a record of format 1 remembered into the present form.
void migrate_format_1_orders(wire::ValueT& value);

}  // namespace pipit
