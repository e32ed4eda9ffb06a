#include "base/key_digest.h"

#include <glib.h>

#include <array>

namespace pipit {

namespace {
constexpr std::size_t sha256_bytes = 32;
constexpr std::size_t integer_bytes = 8;
constexpr std::size_t short_digits = 8;

std::uint64_t integer_at(std::array<guint8, sha256_bytes> const& bytes, std::size_t from) {
  std::uint64_t out = 0;
  for (std::size_t i = 0; i < integer_bytes; ++i) out = out << 8 | bytes[from + i];
  return out;
}
}  // namespace

Digest key_digest_of(std::string_view key) {
  std::array<guint8, sha256_bytes> bytes{};
  gsize size = bytes.size();
  GChecksum* const checksum = g_checksum_new(G_CHECKSUM_SHA256);
  g_checksum_update(checksum, reinterpret_cast<guchar const*>(key.data()), static_cast<gssize>(key.size()));
  g_checksum_get_digest(checksum, bytes.data(), &size);
  g_checksum_free(checksum);
  Digest out;
  out.high = integer_at(bytes, 0);
  out.low = integer_at(bytes, integer_bytes);
  return out;
}

std::string abbreviated_digest(Digest const& key) { return to_hex(key).substr(0, short_digits); }

}  // namespace pipit
