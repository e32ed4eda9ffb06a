#include "routing/chat/chat_request_reader.h"

#include <simdjson.h>

namespace pipit {

namespace {
// Appends the text of a message's content to the prompt. False if the content has another type.
bool add_content(simdjson::dom::element const& content, std::string& prompt) {
  std::string_view text;
  if (!content.get_string().get(text)) {
    prompt += text;
    return true;
  }
  simdjson::dom::array parts;
  if (content.get_array().get(parts)) return content.is_null();
  for (simdjson::dom::element const& part : parts)
    if (!part["text"].get_string().get(text)) prompt += text;
  return true;
}
}  // namespace

Result<ChatRequestInfo> parse_chat_request(std::string_view body, ChatApi api) {
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  simdjson::error_code const code = parser.parse(simdjson::padded_string(body)).get(root);
  if (code) return fail(ErrorCode::bad_json, simdjson::error_message(code));
  if (!root.is_object()) return fail(ErrorCode::bad_request, "the request body must be a JSON object");
  ChatRequestInfo out;
  std::string_view text;
  if (root["model"].get_string().get(text) || text.empty())
    return fail(ErrorCode::bad_request, "model must be a non-empty string", "$.model");
  out.facts.model = text;
  simdjson::dom::element item;
  if (!root["stream"].get(item) && item.get_bool().get(out.facts.stream))
    return fail(ErrorCode::bad_request, "stream must be true or false", "$.stream");
  if (!root["max_tokens"].get(item) && (item.get_int64().get(out.facts.max_tokens) || out.facts.max_tokens < 0))
    return fail(ErrorCode::bad_request, "max_tokens must be a non-negative integer", "$.max_tokens");
  if (!root["user"].get(item)) {
    if (item.get_string().get(text)) return fail(ErrorCode::bad_request, "user must be a string", "$.user");
    out.facts.user = text;
  }
  out.facts.size = static_cast<std::int64_t>(body.size());
  std::string prompt;
  if (api == ChatApi::chat) {
    simdjson::dom::array turns;
    if (root["messages"].get_array().get(turns) || turns.size() == 0)
      return fail(ErrorCode::bad_request, "messages must be a non-empty array", "$.messages");
    for (simdjson::dom::element const& turn : turns) {
      if (turn["role"].get_string().get(text))
        return fail(ErrorCode::bad_request, "each message needs a role, a string", "$.messages");
      prompt += text;
      prompt += '\n';
      simdjson::dom::element content;
      if (turn["content"].get(content) || !add_content(content, prompt))
        return fail(ErrorCode::bad_request, "each message needs content: a string, an array of parts or null",
                    "$.messages");
      prompt += '\n';
    }
  } else {
    if (root["prompt"].get_string().get(text))
      return fail(ErrorCode::bad_request, "prompt must be a string", "$.prompt");
    prompt = text;
  }
  out.path = path_of(prompt);
  return out;
}

namespace {
bool is_alphanumeric(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'); }
}  // namespace

bool id_matches_request(std::string_view id, std::string_view request) {
  for (std::size_t begin = id.find(request); begin != std::string_view::npos; begin = id.find(request, begin + 1)) {
    std::size_t const end = begin + request.size();
    if ((begin == 0 || !is_alphanumeric(id[begin - 1])) && (end == id.size() || !is_alphanumeric(id[end]))) return true;
  }
  return false;
}

ParsedChunk parse_chunk(std::string_view body) {
  ParsedChunk out;
  static thread_local simdjson::dom::parser parser;
  simdjson::dom::element root;
  if (parser.parse(simdjson::padded_string(body)).get(root) || !root.is_object()) return out;
  out.json = true;
  simdjson::dom::element item;
  out.error = !root["error"].get(item);
  std::string_view id;
  if (!root["id"].get_string().get(id)) out.id = id;
  return out;
}

}  // namespace pipit
