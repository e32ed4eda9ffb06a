#include "runtime/http/operator_client.h"

#include <libsoup/soup.h>

namespace pipit {

OperatorReply call_operator_api(char const* method, std::string const& address, std::string const& path,
                                std::string const* body, std::string const& expected_serial) {
  OperatorReply out;
  SoupSession* const session = soup_session_new_with_options("timeout", 10, "proxy-resolver", nullptr, nullptr);
  SoupMessage* const message = soup_message_new(method, ("http://" + address + path).c_str());
  soup_message_set_flags(message,
                         static_cast<SoupMessageFlags>(SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_NEW_CONNECTION));
  if (!expected_serial.empty())
    soup_message_headers_replace(soup_message_get_request_headers(message), "If-Match", expected_serial.c_str());
  if (body != nullptr) {
    GBytes* const bytes = g_bytes_new(body->data(), body->size());
    soup_message_set_request_body_from_bytes(message, "application/json", bytes);
    g_bytes_unref(bytes);
  }
  GError* error = nullptr;
  GBytes* const bytes = soup_session_send_and_read(session, message, nullptr, &error);
  if (bytes != nullptr) {
    gsize size = 0;
    char const* const raw = static_cast<char const*>(g_bytes_get_data(bytes, &size));
    if (raw != nullptr) out.body.assign(raw, size);
    g_bytes_unref(bytes);
    out.status = soup_message_get_status(message);
    SoupMessageHeaders* const head = soup_message_get_response_headers(message);
    struct Row {
      char const* name;
      std::string& slot;
    };
    for (Row const& row : {Row{"X-Pipit-Serial", out.serial}, Row{"X-Pipit-Emptied", out.drained_zones},
                           Row{"X-Pipit-Change", out.change_id}})
      if (char const* const value = soup_message_headers_get_one(head, row.name)) row.slot = value;
  } else {
    out.error = error->message;
    g_error_free(error);
  }
  g_object_unref(message);
  g_object_unref(session);
  return out;
}

int exit_code_of(OperatorReply const& reply) {
  if (reply.status == 0) return 4;
  if (reply.status == 200) return 0;
  if (reply.status == 202) return 5;
  if (reply.status == 504) return 3;
  if (reply.status == 503) return 4;
  if (reply.status == 400 || reply.status == 413) return 2;
  return 1;
}

}  // namespace pipit
