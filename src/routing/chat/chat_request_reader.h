// What a caller's JSON says, as far as placing it needs (§7.1).
#pragma once
#include <string>
#include <string_view>

#include "base/error.h"
#include "routing/chat/chat_dispatcher.h"

namespace pipit {

enum class Form : std::uint8_t { chat, completion };
Result<Ask> parse_ask(std::string_view body, Form form);

// One event of a worker's stream, or a whole answer: is it JSON, and whose?
struct ParsedChunk {
  bool json = false;
  bool error = false;
  std::string id;
};
ParsedChunk parse_chunk(std::string_view text);
// Whether an answer's id is that of a request: the whole of it, set off by what is no letter or digit (§7.5).
bool answers_to(std::string_view id, std::string_view request);

}  // namespace pipit
