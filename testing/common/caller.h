// A caller's end of one HTTP/1.1 exchange, read byte by byte: whether a chunked body came to its end is
// just what has to be judged, and libsoup takes a body cut between two chunks for a whole one (§10.2).
#pragma once
#include <gio/gio.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <string>

#include "base/ip.h"
#include "base/micros.h"

namespace pipit {

class Caller {
 public:
  enum class End : std::uint8_t { complete, cut, unopened };
  std::function<void(std::string_view)> on_body;  // pieces of a body, unchunked
  std::function<void(End)> on_end;                // once; the caller may be deleted then

  Caller() : stop(g_cancellable_new()) {}
  ~Caller() {
    if (link != nullptr) {
      g_socket_close(g_socket_connection_get_socket(link), nullptr);
      g_object_unref(link);
    }
    g_object_unref(stop);
  }

  unsigned status = 0;
  std::map<std::string, std::string> head;  // names in small letters

  void post(std::string const& address, std::string const& path, std::string const& body) {
    std::string host;
    std::uint16_t port = 0;
    split_address(address, host, port);
    out = "POST " + path + " HTTP/1.1\r\nHost: " + address +
          "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body;
    GSocketClient* const client = g_socket_client_new();
    g_socket_client_set_enable_proxy(client, FALSE);
    g_socket_client_set_timeout(client, 2);
    g_socket_client_connect_to_host_async(client, host.c_str(), port, stop, on_open, this);
    g_object_unref(client);
  }

 private:
  static void on_open(GObject* source, GAsyncResult* result, gpointer data) {
    Caller& self = *static_cast<Caller*>(data);
    self.link = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, nullptr);
    if (self.link == nullptr) return self.on_end(End::unopened);
    g_socket_set_timeout(g_socket_connection_get_socket(self.link), 0);
    g_output_stream_write_all_async(g_io_stream_get_output_stream(G_IO_STREAM(self.link)), self.out.data(),
                                    self.out.size(), G_PRIORITY_DEFAULT, self.stop, on_sent, &self);
  }
  static void on_sent(GObject* source, GAsyncResult* result, gpointer data) {
    Caller& self = *static_cast<Caller*>(data);
    if (!g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, nullptr, nullptr))
      return self.on_end(End::cut);
    self.more();
  }
  void more() {
    g_input_stream_read_async(g_io_stream_get_input_stream(G_IO_STREAM(link)), buffer, sizeof buffer,
                              G_PRIORITY_DEFAULT, stop, on_read, this);
  }
  static void on_read(GObject* source, GAsyncResult* result, gpointer data) {
    Caller& self = *static_cast<Caller*>(data);
    gssize const size = g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
    if (size <= 0) return self.on_end(End::cut);  // a whole body ends the exchange before this
    self.in.append(self.buffer, static_cast<std::size_t>(size));
    if (!self.take()) return self.on_end(self.over ? End::complete : End::cut);
    self.more();
  }

  // True while more is needed.
  bool take() {
    if (status == 0) {
      std::size_t const end = in.find("\r\n\r\n");
      if (end == std::string::npos) return in.size() < 65536;
      std::string const top = in.substr(0, end + 2);
      in.erase(0, end + 4);
      status = static_cast<unsigned>(std::atoi(top.c_str() + std::min<std::size_t>(top.size(), 9)));
      std::size_t at = top.find("\r\n") + 2;
      while (at < top.size()) {
        std::size_t const stop_at = top.find("\r\n", at);
        std::string const line = top.substr(at, stop_at - at);
        std::size_t const colon = line.find(':');
        if (colon != std::string::npos) {
          std::string name = line.substr(0, colon);
          for (char& c : name) c = static_cast<char>(g_ascii_tolower(c));
          std::size_t const value = line.find_first_not_of(' ', colon + 1);
          head[name] = value == std::string::npos ? "" : line.substr(value);
        }
        at = stop_at + 2;
      }
      chunked = head["transfer-encoding"] == "chunked";
      left = chunked ? 0 : std::strtoull(head["content-length"].c_str(), nullptr, 10);
    }
    if (!chunked) {
      std::size_t const n = std::min<std::size_t>(left, in.size());
      if (n > 0) on_body(std::string_view(in).substr(0, n));
      in.erase(0, n);
      left -= n;
      over = left == 0;
      return !over;
    }
    while (true) {
      if (left > 0) {  // the rest of a chunk, with the line end behind it
        if (in.size() < left + 2) return true;
        on_body(std::string_view(in).substr(0, left));
        in.erase(0, left + 2);
        left = 0;
      }
      std::size_t const end = in.find("\r\n");
      if (end == std::string::npos) return true;
      left = std::strtoull(in.c_str(), nullptr, 16);
      if (left == 0) {
        if (in.size() < end + 4) return true;
        over = in.compare(end, 4, "\r\n\r\n") == 0;
        return false;
      }
      in.erase(0, end + 2);
    }
  }

  GSocketConnection* link = nullptr;
  GCancellable* stop;
  std::string out;
  std::string in;
  bool chunked = false;
  bool over = false;
  std::size_t left = 0;
  char buffer[16384];
};

}  // namespace pipit
