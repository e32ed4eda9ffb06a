#include "hull/wire/wires.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "ground/ip.h"
#include "kin/frame.h"

namespace pipit {

namespace {
constexpr std::size_t backlog_most = 64u << 20;
constexpr unsigned dial_seconds = 1;
}  // namespace

struct Wires::Wire {
  Wires* host = nullptr;
  std::shared_ptr<bool> alive;
  WireId id = 0;
  GSocketConnection* link = nullptr;
  GCancellable* stop = nullptr;
  std::string in;
  std::deque<std::string> out;
  std::size_t out_size = 0;
  bool writing = false;
  bool dead = false;
  char room[65536];
  ~Wire() {
    g_clear_object(&stop);
    if (link != nullptr) {
      // Closed without waiting: closing a socket that has unsent bytes must not hold the loop.
      g_socket_close(g_socket_connection_get_socket(link), nullptr);
      g_object_unref(link);
    }
  }
};

struct Wires::Dialling {
  Wires* host;
  std::shared_ptr<bool> alive;
  std::string address;
};

Wires::~Wires() { stop(); }

void Wires::stop() {
  *alive = false;
  if (service != nullptr) {
    g_socket_service_stop(service);
    g_socket_listener_close(G_SOCKET_LISTENER(service));
    g_clear_object(&service);
  }
  for (std::pair<WireId const, std::shared_ptr<Wire>>& item : wires) {
    item.second->dead = true;
    g_cancellable_cancel(item.second->stop);
  }
  wires.clear();
}

Result<void> Wires::listen(std::string const& address) {
  std::uint16_t port = 0;
  split_address(address, own_host, port);
  service = g_socket_service_new();
  GInetAddress* const host = g_inet_address_new_from_string(own_host.c_str());
  GSocketAddress* const spot = g_inet_socket_address_new(host, port);
  g_object_unref(host);
  GError* error = nullptr;
  bool const good = g_socket_listener_add_address(G_SOCKET_LISTENER(service), spot, G_SOCKET_TYPE_STREAM,
                                                  G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &error);
  g_object_unref(spot);
  if (!good) {
    std::string const why = error->message;
    g_error_free(error);
    return fail(Kind::bad_settings, "mesh: " + address + " cannot be listened on: " + why);
  }
  g_signal_connect(service, "incoming", G_CALLBACK(on_incoming), this);
  g_socket_service_start(service);
  return boost::outcome_v2::success();
}

gboolean Wires::on_incoming(GSocketService*, GSocketConnection* link, GObject*, gpointer self) {
  static_cast<Wires*>(self)->adopt(G_SOCKET_CONNECTION(g_object_ref(link)), false, "");
  return TRUE;
}

void Wires::dial(std::string const& address) {
  std::string host;
  std::uint16_t port = 0;
  if (!split_address(address, host, port)) {
    ears.failed(address, false);
    return;
  }
  GSocketClient* const client = g_socket_client_new();
  g_socket_client_set_enable_proxy(client, FALSE);
  g_socket_client_set_timeout(client, dial_seconds);
  // Dial from the node's own number, so that peers and cuts see one number for one node.
  GInetAddress* const own = g_inet_address_new_from_string(own_host.c_str());
  if (own != nullptr && !g_inet_address_get_is_any(own)) {
    GSocketAddress* const from = g_inet_socket_address_new(own, 0);
    g_socket_client_set_local_address(client, from);
    g_object_unref(from);
  }
  g_clear_object(const_cast<GInetAddress**>(&own));
  GInetAddress* const number = g_inet_address_new_from_string(host.c_str());
  GSocketAddress* const spot = g_inet_socket_address_new(number, port);
  g_socket_client_connect_async(client, G_SOCKET_CONNECTABLE(spot), nullptr, on_dialled,
                                new Dialling{this, alive, address});
  g_object_unref(number);
  g_object_unref(spot);
  g_object_unref(client);
}

void Wires::on_dialled(GObject* source, GAsyncResult* result, gpointer data) {
  std::unique_ptr<Dialling> const dialling(static_cast<Dialling*>(data));
  GError* error = nullptr;
  GSocketConnection* const link = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, &error);
  if (!*dialling->alive) {
    if (link != nullptr) g_object_unref(link);
    g_clear_error(&error);
    return;
  }
  if (link == nullptr) {
    bool const refused = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
    g_error_free(error);
    dialling->host->ears.failed(dialling->address, refused);
    return;
  }
  dialling->host->adopt(link, true, dialling->address);
}

void Wires::adopt(GSocketConnection* link, bool outbound, std::string const& address) {
  std::shared_ptr<Wire> const wire = std::make_shared<Wire>();
  wire->host = this;
  wire->alive = alive;
  wire->id = ++next;
  wire->link = link;
  wire->stop = g_cancellable_new();
  GSocket* const socket = g_socket_connection_get_socket(link);
  g_socket_set_timeout(socket, 0);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  wires[wire->id] = wire;
  read_more(*wire);
  ears.opened(wire->id, outbound, address);
}

void Wires::read_more(Wire& wire) {
  std::map<WireId, std::shared_ptr<Wire>>::iterator const spot = wires.find(wire.id);
  if (spot == wires.end()) return;
  g_input_stream_read_async(g_io_stream_get_input_stream(G_IO_STREAM(wire.link)), wire.room, sizeof wire.room,
                            G_PRIORITY_DEFAULT, wire.stop, on_read, new std::shared_ptr<Wire>(spot->second));
}

void Wires::on_read(GObject* source, GAsyncResult* result, gpointer data) {
  std::unique_ptr<std::shared_ptr<Wire>> const held(static_cast<std::shared_ptr<Wire>*>(data));
  Wire& wire = **held;
  gssize const size = g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
  if (wire.dead || !*wire.alive) return;
  if (size <= 0) return wire.host->lost(wire.id);
  wire.in.append(wire.room, static_cast<std::size_t>(size));
  std::size_t at = 0;
  while (wire.in.size() - at >= 4) {
    std::string_view const rest = std::string_view(wire.in).substr(at);
    std::size_t const need = announced(rest);
    if (need == 0) return wire.host->lost(wire.id);
    if (rest.size() < need + 4) break;
    bool const good = wire.host->ears.frame(wire.id, rest.substr(0, need + 4));
    if (wire.dead) return;
    if (!good) return wire.host->lost(wire.id);
    at += need + 4;
  }
  wire.in.erase(0, at);
  wire.host->read_more(wire);
}

void Wires::send(WireId id, std::string bytes) {
  std::map<WireId, std::shared_ptr<Wire>>::iterator const spot = wires.find(id);
  if (spot == wires.end()) return;
  Wire& wire = *spot->second;
  wire.out_size += bytes.size();
  wire.out.push_back(std::move(bytes));
  if (wire.out_size > backlog_most) return lost(id);  // the peer does not read; it is dialled again
  if (!wire.writing) write_more(wire);
}

void Wires::write_more(Wire& wire) {
  if (wire.out.empty()) return;
  wire.writing = true;
  // Small frames leave together.
  while (wire.out.size() > 1 && wire.out[0].size() + wire.out[1].size() < 65536) {
    std::string const second = std::move(wire.out[1]);
    wire.out[0] += second;
    wire.out.erase(wire.out.begin() + 1);
  }
  g_output_stream_write_all_async(g_io_stream_get_output_stream(G_IO_STREAM(wire.link)), wire.out.front().data(),
                                  wire.out.front().size(), G_PRIORITY_DEFAULT, wire.stop, on_written,
                                  new std::shared_ptr<Wire>(wires[wire.id]));
}

void Wires::on_written(GObject* source, GAsyncResult* result, gpointer data) {
  std::unique_ptr<std::shared_ptr<Wire>> const held(static_cast<std::shared_ptr<Wire>*>(data));
  Wire& wire = **held;
  bool const good = g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, nullptr, nullptr);
  if (wire.dead || !*wire.alive) return;
  if (!good) return wire.host->lost(wire.id);
  wire.out_size -= wire.out.front().size();
  wire.out.pop_front();
  wire.writing = false;
  wire.host->write_more(wire);
}

void Wires::shut(WireId id) {
  std::map<WireId, std::shared_ptr<Wire>>::iterator const spot = wires.find(id);
  if (spot == wires.end()) return;
  spot->second->dead = true;
  g_cancellable_cancel(spot->second->stop);
  wires.erase(spot);
}

void Wires::lost(WireId id) {
  if (!wires.count(id)) return;
  shut(id);
  ears.shut(id);
}

}  // namespace pipit
