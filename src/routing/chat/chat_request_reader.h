// Parses the JSON of chat requests and of workers' answers, as far as placement and forwarding need it (§7.1).
#pragma once
#include <string>
#include <string_view>

#include "base/error.h"
#include "routing/chat/chat_dispatcher.h"

namespace pipit {

// Which API a request body belongs to: chat completions ("messages") or text completions ("prompt").
enum class ChatApi : std::uint8_t { chat, completion };

// Parses a request body. Errors: bad_json if the body is not JSON; bad_request, with the JSON path of the field, if a
// field is missing or has the wrong type.
Result<ChatRequestInfo> parse_chat_request(std::string_view body, ChatApi api);

// The fields of one event of a worker's stream, or of a complete answer, that are checked before it is forwarded.
struct ParsedChunk {
  bool json = false;   // the text is a JSON object
  bool error = false;  // the object has a field "error"
  std::string id;      // empty if absent
};
ParsedChunk parse_chunk(std::string_view text);

// Whether the id of an answer contains the request's id as a whole word, delimited by characters other than letters and
// digits (§7.5).
bool id_matches_request(std::string_view id, std::string_view request);

}  // namespace pipit
