// The parts of a caller's prompt, as its field names them.
#include <algorithm>

#include "base/hash.h"
#include "routing/dispatch/dispatcher.h"

namespace pipit {

namespace {
bool digit_of(char c, std::uint64_t& out) {
  if (c >= '0' && c <= '9')
    out = static_cast<std::uint64_t>(c - '0');
  else if (c >= 'a' && c <= 'f')
    out = static_cast<std::uint64_t>(c - 'a') + 10;
  else if (c >= 'A' && c <= 'F')
    out = static_cast<std::uint64_t>(c - 'A') + 10;
  else
    return false;
  return true;
}
}  // namespace

PromptParts parse_prompt_parts(std::string_view text) {
  PromptParts out;
  std::uint64_t hash = 1;
  while (!text.empty() && out.path.size() < block_most) {
    std::size_t const cut = std::min(text.find(','), text.size());
    std::string_view item = text.substr(0, cut);
    text.remove_prefix(std::min(cut + 1, text.size()));
    while (!item.empty() && item.front() == ' ') item.remove_prefix(1);
    std::size_t const colon = item.find(':');
    if (colon == std::string_view::npos || colon == 0) break;
    std::uint64_t digit = 0;
    bool good = true;
    for (char const c : item.substr(0, colon)) good = good && digit_of(c, digit);
    std::uint64_t tokens = 0;
    for (char const c : item.substr(colon + 1)) {
      if (c < '0' || c > '9' || tokens > 100000000) {
        good = good && c == ' ';
        continue;
      }
      tokens = tokens * 10 + static_cast<std::uint64_t>(c - '0');
    }
    if (!good) break;
    hash = hash_text(item.substr(0, colon), hash);
    if (hash == 0) hash = 1;
    out.path.push_back(hash);
    out.tokens.push_back(static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, 100000000)));
  }
  return out;
}

}  // namespace pipit
