#include "hull/wire/wires.h"

#include "base/ip.h"
#include "mesh/frame.h"

namespace pipit {

namespace {
constexpr std::size_t backlog_most = 64u << 20;
constexpr Micros dial_most = seconds(1);
}  // namespace

Wires::~Wires() {
  for (std::pair<WireId const, std::shared_ptr<Wire>>& item : wires) item.second->link->close();
}

Result<void> Wires::listen(std::string const& address) {
  std::uint16_t port = 0;
  split_address(address, own_host, port);
  Result<void> const open = door.open(address, [this](std::shared_ptr<Link> link) {
    std::shared_ptr<Wire> const made = std::make_shared<Wire>();
    made->id = ++next;
    made->link = std::move(link);
    adopt(made, false);
  });
  if (!open) return fail(Kind::bad_settings, "mesh: " + open.error().why);
  return boost::outcome_v2::success();
}

void Wires::dial(std::string const& address) {
  std::shared_ptr<Wire> const made = std::make_shared<Wire>();
  made->id = ++next;
  made->address = address;
  // From the node's own number, so that peers and cuts see one number for one node.
  made->link = Link::dial(address, own_host, dial_most);
  if (!made->link->open()) {
    ears.failed(address, made->link->refused());
    return;
  }
  wires[made->id] = made;
  made->link->listen({[this, id = made->id] {
                        std::map<WireId, std::shared_ptr<Wire>>::iterator const spot = wires.find(id);
                        if (spot == wires.end()) return;
                        std::shared_ptr<Wire> const keep = spot->second;
                        adopt(keep, true);
                      },
                      nullptr, [this, id = made->id](Link::End how) { lost(id, how); }, nullptr});
}

void Wires::adopt(std::shared_ptr<Wire> const& wire, bool outbound) {
  WireId const id = wire->id;
  std::string const address = std::move(wire->address);
  wire->address.clear();
  wires[id] = wire;
  wire->link->listen({nullptr,
                      [this, id](std::string_view bytes) {
                        std::map<WireId, std::shared_ptr<Wire>>::iterator const spot = wires.find(id);
                        if (spot == wires.end()) return;
                        std::shared_ptr<Wire> const keep = spot->second;
                        fed(*keep, bytes);
                      },
                      [this, id](Link::End how) { lost(id, how); }, nullptr});
  ears.opened(id, outbound, address);
}

void Wires::fed(Wire& wire, std::string_view bytes) {
  WireId const id = wire.id;
  if (!wire.in.empty()) {
    wire.in.append(bytes);
    bytes = wire.in;
  }
  std::size_t at = 0;
  while (bytes.size() - at >= 4) {
    std::string_view const rest = bytes.substr(at);
    std::size_t const need = announced(rest);
    if (need == 0) return lost(id, Link::End::closed);
    if (rest.size() < need + 4) break;
    bool const good = ears.frame(id, rest.substr(0, need + 4));
    if (!wires.count(id)) return;
    if (!good) return lost(id, Link::End::closed);
    at += need + 4;
  }
  if (wire.in.empty())
    wire.in.assign(bytes.substr(at));
  else
    wire.in.erase(0, at);
}

void Wires::send(WireId id, std::string const& bytes) {
  std::map<WireId, std::shared_ptr<Wire>>::iterator const spot = wires.find(id);
  if (spot == wires.end() || !spot->second->link->connected()) return;
  spot->second->link->write(bytes);
  // The peer does not read; it is dialled again.
  if (spot->second->link->waiting() > backlog_most) lost(id, Link::End::reset);
}

void Wires::shut(WireId id) {
  std::map<WireId, std::shared_ptr<Wire>>::iterator const spot = wires.find(id);
  if (spot == wires.end()) return;
  std::shared_ptr<Wire> const keep = spot->second;
  wires.erase(spot);
  keep->link->listen({});
  // What was written before, a farewell perhaps, still goes.
  keep->link->finish();
}

void Wires::lost(WireId id, Link::End how) {
  std::map<WireId, std::shared_ptr<Wire>>::iterator const spot = wires.find(id);
  if (spot == wires.end()) return;
  std::shared_ptr<Wire> const keep = spot->second;
  wires.erase(spot);
  keep->link->listen({});
  bool const refused = keep->link->refused();
  keep->link->close();
  if (how == Link::End::unreached)
    ears.failed(keep->address, refused);
  else
    ears.shut(id);
}

}  // namespace pipit
