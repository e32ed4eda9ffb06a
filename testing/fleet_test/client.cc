// Questions to nodes over HTTP, and what their metrics say.
#include <cstdlib>
#include <memory>
#include <sstream>

#include "testing/fleet_test/fleet_test.h"

namespace pipit {

FleetTest::Got FleetTest::fetch(char const* method, std::string const& address, std::string const& path,
                                std::string const& body, std::string const& match, bool* good) {
  Got out;
  bool over = false;
  ask(method, address, path, body, match, [&out, &over](Got const& got) {
    out = got;
    over = true;
  });
  while (!over) g_main_context_iteration(nullptr, TRUE);
  if (good != nullptr) *good = out.status == 200;
  return out;
}

void FleetTest::ask(char const* method, std::string const& address, std::string const& path, std::string const& body,
                    std::string const& match, std::function<void(Got const&)> done, bool keep) {
  SoupMessage* const message = soup_message_new(method, ("http://" + address + path).c_str());
  if (!keep) soup_message_set_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
  if (!match.empty())
    soup_message_headers_replace(soup_message_get_request_headers(message), "If-Match", match.c_str());
  if (std::string(method) != "GET") {
    GBytes* const bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(message, "application/json", bytes);
    g_bytes_unref(bytes);
  }
  soup_session_send_and_read_async(
      session, message, G_PRIORITY_DEFAULT, nullptr,
      [](GObject* source, GAsyncResult* result, gpointer data) {
        std::unique_ptr<Asked> const item(static_cast<Asked*>(data));
        GBytes* const bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, nullptr);
        Got got;
        if (bytes != nullptr) {
          gsize size = 0;
          char const* const raw = static_cast<char const*>(g_bytes_get_data(bytes, &size));
          if (raw != nullptr) got.body.assign(raw, size);
          g_bytes_unref(bytes);
          got.status = soup_message_get_status(item->message);
          char const* const serial =
              soup_message_headers_get_one(soup_message_get_response_headers(item->message), "X-Pipit-Serial");
          if (serial != nullptr) got.serial = serial;
        }
        g_object_unref(item->message);
        item->done(got);
      },
      new Asked{message, std::move(done)});
}

bool FleetTest::all_ready() {
  for (Actor* const actor : live_nodes()) {
    bool good = false;
    fetch("GET", actor->address + ":7080", "/ready", "", "", &good);
    if (!good) return false;
    if (actor->name[0] == 'p' && !workers_known(*actor)) return false;
  }
  return true;
}

bool FleetTest::workers_known(Actor const& actor) {
  Got const got = fetch("GET", actor.address + ":7080", "/v1/status", "", "");
  std::size_t n = 0;
  for (std::size_t at = got.body.find("\"dark\":false"); at != std::string::npos;
       at = got.body.find("\"dark\":false", at + 1))
    ++n;
  return n >= static_cast<std::size_t>(shape.workers);
}

bool FleetTest::all_at(std::uint64_t serial) {
  for (Actor* const actor : live_nodes())
    if (actor->name[0] == 'p' && !actor->cut && serial_of(*actor) < serial) return false;
  return true;
}

std::uint64_t FleetTest::serial_of(Actor& actor) {
  Got const got = fetch("GET", actor.address + ":7080", "/metrics", "", "");
  take_metrics(actor, got.body);
  return actor.serial;
}

void FleetTest::bank(Actor& actor, std::string const& name, std::uint64_t value) {
  if (name == "pipit_first_sends_total") actor.first_sends += value;
  if (name == "pipit_resends_total") actor.resends += value;
  if (name == "pipit_blocks_asked_total") actor.asked += value;
  if (name == "pipit_blocks_hit_total") actor.hit += value;
  if (name == "pipit_far_sends_total") actor.remote += value;
}

void FleetTest::take_metrics(Actor& actor, std::string const& text) {
  std::stringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    std::size_t const gap = line.rfind(' ');
    if (line.empty() || line[0] == '#' || gap == std::string::npos) continue;
    std::uint64_t& value = actor.last[line.substr(0, gap)];
    std::uint64_t const before = value;
    value = std::strtoull(line.c_str() + gap + 1, nullptr, 10);
    if (line.starts_with("pipit_invariant_violations_total{") && value > before)
      fault("invariant", actor.name + ": " + line);
  }
  std::map<std::string, std::uint64_t>::const_iterator const serial = actor.last.find("pipit_serial");
  if (serial == actor.last.end()) return;
  // N7: a node never slips back to an older description while it lives.
  if (serial->second < actor.serial)
    fault("N7",
          actor.name + " went from serial " + std::to_string(actor.serial) + " to " + std::to_string(serial->second));
  actor.serial = serial->second;
}

}  // namespace pipit
