#include "consensus/register/value_patch.h"

#include <algorithm>

#include "base/digest.h"
#include "consensus/register/membership.h"
#include "consensus/register/text_patch.h"

namespace pipit {

namespace {
bool equal_orders(wire::Order const& a, wire::Order const& b) {
  return a.id_high() == b.id_high() && a.id_low() == b.id_low() && a.label() == b.label();
}

// The number of the base's oldest orders that `next` no longer has; all of them if the remaining orders of the base are
// not the first orders of `next`.
std::size_t count_dropped_orders(wire::ValueT const& base, wire::ValueT const& next) {
  std::size_t const all = base.orders.size();
  if (next.orders.empty()) return all;
  for (std::size_t drop = 0; drop < all; ++drop) {
    if (!equal_orders(base.orders[drop], next.orders.front())) continue;
    bool const follows =
        all - drop <= next.orders.size() && std::equal(base.orders.begin() + static_cast<std::ptrdiff_t>(drop),
                                                       base.orders.end(), next.orders.begin(), equal_orders);
    return follows ? drop : all;
  }
  return all;
}

bool have_same_members(wire::ValueT const& a, wire::ValueT const& b) {
  return membership_of(a).fingerprint() == membership_of(b).fingerprint();
}

// Appends a number, a text with its length, or a list to the bytes to be hashed.
void append_field(std::string& out, std::uint64_t number) {
  out.append(reinterpret_cast<char const*>(&number), sizeof number);
}

void append_field(std::string& out, std::string const& text) {
  append_field(out, text.size());
  out += text;
}

void append_field(std::string& out, std::vector<std::unique_ptr<wire::RouterRegistrationT>> const& registrations) {
  append_field(out, registrations.size());
  for (std::unique_ptr<wire::RouterRegistrationT> const& registration : registrations) {
    append_field(out, registration->name);
    append_field(out, registration->address);
    append_field(out, registration->incarnation);
  }
}

// The digest of all fields of a value.
Digest value_digest(wire::ValueT const& value) {
  Digest const text = digest_of(value.text);
  std::string out;
  for (std::uint64_t const number :
       {text.high, text.low, value.serial, value.revision, value.label, value.forgotten_serial, value.forgotten_label,
        value.epoch, membership_of(value).fingerprint()})
    append_field(out, number);
  append_field(out, value.change);
  append_field(out, value.drained_zones.size());
  for (std::string const& zone : value.drained_zones) append_field(out, zone);
  append_field(out, value.registrations);
  append_field(out, value.evicted);
  for (wire::Order const& order : value.orders) {
    append_field(out, order.id_high());
    append_field(out, order.id_low());
    append_field(out, order.label());
  }
  return digest_of(out);
}
}  // namespace

std::unique_ptr<wire::ValuePatchT> make_value_patch(wire::ValueT const& base, wire::ValueT const& next) {
  std::unique_ptr<wire::ValuePatchT> out = std::make_unique<wire::ValuePatchT>();
  std::size_t const dropped = count_dropped_orders(base, next);
  std::size_t const kept = base.orders.size() - dropped;
  out->base_revision = base.revision;
  out->text = make_text_patch(base.text, next.text);
  out->orders_dropped = static_cast<std::uint32_t>(dropped);
  out->same_members = have_same_members(base, next);
  out->rest = std::make_unique<wire::ValueT>();
  wire::ValueT& rest = *out->rest;
  rest.serial = next.serial;
  rest.change = next.change;
  rest.drained_zones = next.drained_zones;
  rest.revision = next.revision;
  rest.label = next.label;
  rest.forgotten_serial = next.forgotten_serial;
  rest.forgotten_label = next.forgotten_label;
  rest.orders.assign(next.orders.begin() + static_cast<std::ptrdiff_t>(kept), next.orders.end());
  for (std::unique_ptr<wire::RouterRegistrationT> const& registration : next.registrations)
    rest.registrations.push_back(std::make_unique<wire::RouterRegistrationT>(*registration));
  for (std::unique_ptr<wire::RouterRegistrationT> const& registration : next.evicted)
    rest.evicted.push_back(std::make_unique<wire::RouterRegistrationT>(*registration));
  if (!out->same_members) store_membership(membership_of(next), rest);
  Digest const digest = value_digest(next);
  out->digest_high = digest.high;
  out->digest_low = digest.low;
  return out;
}

std::optional<wire::ValueT> apply_value_patch(wire::ValueT const& base, wire::ValuePatchT const& patch) {
  if (!patch.rest || !patch.text || base.revision != patch.base_revision || patch.orders_dropped > base.orders.size())
    return std::nullopt;
  std::optional<std::string> text = apply_text_patch(base.text, *patch.text);
  if (!text) return std::nullopt;
  wire::ValueT out = *patch.rest;
  out.text = std::move(*text);
  out.orders.assign(base.orders.begin() + patch.orders_dropped, base.orders.end());
  out.orders.insert(out.orders.end(), patch.rest->orders.begin(), patch.rest->orders.end());
  if (patch.same_members) store_membership(membership_of(base), out);
  if (!(value_digest(out) == Digest{patch.digest_high, patch.digest_low})) return std::nullopt;
  return out;
}

}  // namespace pipit
