// The task that owns the mesh's sockets: it listens, dials, and carries whole frames (§3.2).
#pragma once
#include <gio/gio.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "ground/kinds.h"
#include "kin/effects.h"

namespace pipit {

class Wires {
 public:
  struct Ears {
    std::function<void(WireId, bool outbound, std::string const& address)> opened;
    std::function<void(WireId)> shut;
    std::function<void(std::string const& address, bool refused)> failed;
    std::function<bool(WireId, std::string_view frame)> frame;
  };
  explicit Wires(Ears ears_) : ears(std::move(ears_)) {}
  ~Wires();

  Result<void> listen(std::string const& address);
  void dial(std::string const& address);
  void send(WireId id, std::string bytes);
  void shut(WireId id);
  void stop();

 private:
  struct Wire;
  struct Dialling;
  void adopt(GSocketConnection* link, bool outbound, std::string const& address);
  static gboolean on_incoming(GSocketService*, GSocketConnection* link, GObject*, gpointer self);
  static void on_dialled(GObject* source, GAsyncResult* result, gpointer data);
  static void on_read(GObject* source, GAsyncResult* result, gpointer data);
  static void on_written(GObject* source, GAsyncResult* result, gpointer data);
  void read_more(Wire& wire);
  void write_more(Wire& wire);
  void lost(WireId id);

  Ears ears;
  GSocketService* service = nullptr;
  std::string own_host;
  WireId next = 0;
  std::map<WireId, std::shared_ptr<Wire>> wires;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace pipit
