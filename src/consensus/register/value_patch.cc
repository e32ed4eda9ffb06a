#include "consensus/register/value_patch.h"

#include <algorithm>

#include "consensus/register/membership.h"

namespace pipit {

namespace {
struct Splice {
  std::size_t head = 0;
  std::size_t tail = 0;
};

Splice splice_of(std::string const& base, std::string const& next) {
  Splice out;
  std::size_t const most = std::min(base.size(), next.size());
  while (out.head < most && base[out.head] == next[out.head]) ++out.head;
  while (out.tail < most - out.head && base[base.size() - 1 - out.tail] == next[next.size() - 1 - out.tail]) ++out.tail;
  return out;
}

bool same_order(wire::Order const& a, wire::Order const& b) {
  return a.id_high() == b.id_high() && a.id_low() == b.id_low() && a.label() == b.label();
}

// How many of the base's oldest orders are gone in 'next'; all of them when the two do not follow one another.
std::size_t dropped_orders(wire::ValueT const& base, wire::ValueT const& next) {
  std::size_t const all = base.orders.size();
  if (next.orders.empty()) return all;
  for (std::size_t drop = 0; drop < all; ++drop) {
    if (!same_order(base.orders[drop], next.orders.front())) continue;
    bool const follows =
        all - drop <= next.orders.size() && std::equal(base.orders.begin() + static_cast<std::ptrdiff_t>(drop),
                                                       base.orders.end(), next.orders.begin(), same_order);
    return follows ? drop : all;
  }
  return all;
}

bool same_members(wire::ValueT const& a, wire::ValueT const& b) {
  return membership_of(a).fingerprint() == membership_of(b).fingerprint();
}
}  // namespace

std::unique_ptr<wire::ValuePatchT> patch_between(wire::ValueT const& base, wire::ValueT const& next) {
  std::unique_ptr<wire::ValuePatchT> out = std::make_unique<wire::ValuePatchT>();
  Splice const splice = splice_of(base.text, next.text);
  std::size_t const dropped = dropped_orders(base, next);
  std::size_t const kept = base.orders.size() - dropped;
  out->base_revision = base.revision;
  out->head = static_cast<std::uint32_t>(splice.head);
  out->tail = static_cast<std::uint32_t>(splice.tail);
  out->orders_dropped = static_cast<std::uint32_t>(dropped);
  out->same_members = same_members(base, next);
  out->rest = std::make_unique<wire::ValueT>();
  wire::ValueT& rest = *out->rest;
  rest.serial = next.serial;
  rest.change = next.change;
  rest.text = next.text.substr(splice.head, next.text.size() - splice.head - splice.tail);
  rest.emptied = next.emptied;
  rest.revision = next.revision;
  rest.label = next.label;
  rest.forgotten_serial = next.forgotten_serial;
  rest.forgotten_label = next.forgotten_label;
  rest.orders.assign(next.orders.begin() + static_cast<std::ptrdiff_t>(kept), next.orders.end());
  for (std::unique_ptr<wire::SeatT> const& seat : next.seats)
    rest.seats.push_back(std::make_unique<wire::SeatT>(*seat));
  for (std::unique_ptr<wire::SeatT> const& seat : next.struck)
    rest.struck.push_back(std::make_unique<wire::SeatT>(*seat));
  if (!out->same_members) put_membership(membership_of(next), rest);
  return out;
}

std::optional<wire::ValueT> patched(wire::ValueT const& base, wire::ValuePatchT const& patch) {
  std::size_t const head = patch.head;
  std::size_t const tail = patch.tail;
  if (!patch.rest || base.revision != patch.base_revision || head + tail > base.text.size() ||
      patch.orders_dropped > base.orders.size())
    return std::nullopt;
  wire::ValueT out = *patch.rest;
  out.text = base.text.substr(0, head) + patch.rest->text + base.text.substr(base.text.size() - tail);
  out.orders.assign(base.orders.begin() + patch.orders_dropped, base.orders.end());
  out.orders.insert(out.orders.end(), patch.rest->orders.begin(), patch.rest->orders.end());
  if (patch.same_members) put_membership(membership_of(base), out);
  return out;
}

}  // namespace pipit
