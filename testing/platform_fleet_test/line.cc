#include "testing/platform_fleet_test/line.h"

#include <glib.h>

#include <cstdlib>

#include "testing/platform_fleet_test/clock.h"

namespace pipit::platform_fleet {

std::function<void(std::string_view)> ClientConnection::on_unexpected_bytes;

std::string request_of(std::string const& method, std::string const& target, std::string const& host,
                       std::string const& fields, std::string const& body) {
  std::string out = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + fields;
  if (method != "GET") out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

std::shared_ptr<ClientConnection> ClientConnection::dial(std::string const& address, std::string const& from,
                                                         Micros timeout) {
  std::shared_ptr<ClientConnection> const out(new ClientConnection);
  out->tcp_connection = TcpConnection::dial(address, from, timeout);
  std::weak_ptr<ClientConnection> const weak = out;
  out->tcp_connection->set_callbacks(
      {nullptr,
       [weak](std::string_view bytes) {
         if (std::shared_ptr<ClientConnection> const connection = weak.lock()) connection->on_bytes(bytes);
       },
       [weak](TcpConnection::CloseReason reason) {
         std::shared_ptr<ClientConnection> const connection = weak.lock();
         if (!connection) return;
         bool const closed = reason == TcpConnection::CloseReason::closed;
         if (closed && connection->read_phase == ReadPhase::to_close) return connection->finish(Outcome::complete);
         connection->finish(reason == TcpConnection::CloseReason::connect_failed ? Outcome::unreached : Outcome::cut);
       },
       nullptr});
  return out;
}

ClientConnection::~ClientConnection() { close(); }

void ClientConnection::close() {
  if (timer != 0) g_source_remove(timer);
  timer = 0;
  busy = false;
  callbacks = {};
  tcp_connection->close();
}

bool ClientConnection::reusable() const {
  return !busy && keep_alive && tcp_connection->open() && now() < reusable_until;
}

std::string ClientConnection::field(std::string const& name) const {
  std::map<std::string, std::string>::const_iterator const position = fields.find(name);
  return position == fields.end() ? "" : position->second;
}

void ClientConnection::send_request(std::string const& request, Callbacks callbacks_, Micros timeout) {
  callbacks = std::move(callbacks_);
  busy = true;
  ++exchanges;
  bytes_in = 0;
  read_phase = ReadPhase::head;
  status = 0;
  fields.clear();
  received.clear();
  if (timeout > 0)
    timer = g_timeout_add(
        static_cast<guint>(timeout / 1000),
        [](gpointer data) -> gboolean {
          std::shared_ptr<ClientConnection> const connection = static_cast<ClientConnection*>(data)->shared_from_this();
          connection->timer = 0;
          connection->finish(Outcome::timed_out);
          return G_SOURCE_REMOVE;
        },
        this);
  if (!tcp_connection->open()) {
    // The callback runs from the event loop, after the caller has updated its own state.
    std::weak_ptr<ClientConnection> const weak = weak_from_this();
    run_after(0, [weak] {
      if (std::shared_ptr<ClientConnection> const connection = weak.lock()) connection->finish(Outcome::unreached);
    });
    return;
  }
  tcp_connection->write(request);
}

void ClientConnection::finish(Outcome outcome) {
  if (timer != 0) g_source_remove(timer);
  timer = 0;
  if (outcome != Outcome::complete) keep_alive = false;
  if (!keep_alive) tcp_connection->close();
  if (!busy) return;
  busy = false;
  std::function<void(Outcome)> const on_end = std::move(callbacks.end);
  callbacks = {};
  if (on_end) on_end(outcome);
}

void ClientConnection::on_bytes(std::string_view bytes) {
  if (!busy) {
    if (on_unexpected_bytes) on_unexpected_bytes(bytes);
    keep_alive = false;
    tcp_connection->close();
    return;
  }
  bytes_in += bytes.size();
  received.append(bytes);
  while (busy && parse()) {
  }
  if (!busy && !received.empty() && on_unexpected_bytes) {
    on_unexpected_bytes(received);
    received.clear();
    keep_alive = false;
    tcp_connection->close();
  }
}

bool ClientConnection::parse_head() {
  std::size_t const end = received.find("\r\n\r\n");
  if (end == std::string::npos) {
    if (received.size() > 65536 || std::string("HTTP/1.1 ")
                                           .compare(0, std::min<std::size_t>(9, received.size()), received, 0,
                                                    std::min<std::size_t>(9, received.size())) != 0)
      finish(Outcome::garbage);
    return false;
  }
  std::string const head = received.substr(0, end + 2);
  received.erase(0, end + 4);
  if (head.compare(0, 9, "HTTP/1.1 ") != 0) {
    finish(Outcome::garbage);
    return false;
  }
  status = static_cast<unsigned>(std::atoi(head.c_str() + 9));
  if (status >= 100 && status < 200) return true;
  fields.clear();
  std::size_t at = head.find("\r\n") + 2;
  while (at < head.size()) {
    std::size_t const stop = head.find("\r\n", at);
    std::size_t const colon = head.find(':', at);
    if (colon != std::string::npos && colon < stop) {
      std::string name = head.substr(at, colon - at);
      for (char& c : name) c = g_ascii_tolower(c);
      std::size_t const value = head.find_first_not_of(' ', colon + 1);
      fields[name] = value >= stop ? "" : head.substr(value, stop - value);
    }
    at = stop + 2;
  }
  std::string const connection = field("connection");
  keep_alive = connection.find("close") == std::string::npos;
  std::string const keep_alive_field = field("keep-alive");
  std::size_t const timeout_at = keep_alive_field.find("timeout=");
  Micros const idle =
      timeout_at == std::string::npos ? seconds(5) : seconds(std::atoll(keep_alive_field.c_str() + timeout_at + 8));
  reusable_until = now() + idle - millis(200);
  if (field("transfer-encoding").find("chunked") != std::string::npos) {
    read_phase = ReadPhase::chunk_size;
  } else if (fields.count("content-length") > 0) {
    read_phase = ReadPhase::length;
    remaining = std::strtoull(field("content-length").c_str(), nullptr, 10);
  } else {
    read_phase = ReadPhase::to_close;
    keep_alive = false;
  }
  if (callbacks.head) callbacks.head(status);
  return true;
}

bool ClientConnection::parse() {
  switch (read_phase) {
    case ReadPhase::head:
      return parse_head();
    case ReadPhase::length:
    case ReadPhase::chunk: {
      std::size_t const n = static_cast<std::size_t>(std::min<std::uint64_t>(remaining, received.size()));
      std::string const part = received.substr(0, n);
      received.erase(0, n);
      remaining -= n;
      if (n > 0 && callbacks.body) callbacks.body(part);
      if (!busy) return false;
      if (remaining > 0) return false;
      if (read_phase == ReadPhase::length) {
        finish(Outcome::complete);
        return false;
      }
      read_phase = ReadPhase::chunk_end;
      return true;
    }
    case ReadPhase::chunk_size: {
      std::size_t const end = received.find("\r\n");
      if (end == std::string::npos) return false;
      char* stop = nullptr;
      remaining = std::strtoull(received.c_str(), &stop, 16);
      if (stop == received.c_str()) {
        finish(Outcome::garbage);
        return false;
      }
      received.erase(0, end + 2);
      read_phase = remaining == 0 ? ReadPhase::trailer : ReadPhase::chunk;
      return true;
    }
    case ReadPhase::chunk_end:
      if (received.size() < 2) return false;
      if (received.compare(0, 2, "\r\n") != 0) {
        finish(Outcome::garbage);
        return false;
      }
      received.erase(0, 2);
      read_phase = ReadPhase::chunk_size;
      return true;
    case ReadPhase::trailer: {
      std::size_t const end = received.find("\r\n");
      if (end == std::string::npos) return false;
      received.erase(0, end + 2);
      if (end > 0) return true;
      finish(Outcome::complete);
      return false;
    }
    default: {
      std::string const part = std::move(received);
      received.clear();
      if (!part.empty() && callbacks.body) callbacks.body(part);
      return false;
    }
  }
}

}  // namespace pipit::platform_fleet
