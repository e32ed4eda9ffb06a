#include "testing/platform_fleet_test/rude_clients.h"

#include "testing/platform_fleet_test/clock.h"

namespace pipit::platform_fleet {

namespace {
constexpr std::size_t max_links = 60;
constexpr std::size_t large_head = 40000;
}  // namespace

void RudeClients::connect_clients(int count, Micros gap) {
  for (int n = 0; n < count; ++n) run_after(gap * n, [this] { connect_one(); });
}

// Bytes of a random malformed request. None may reach a worker: complete requests use a path without a route.
std::string RudeClients::random_bytes() {
  std::string const head = "POST /nowhere/ HTTP/1.1\r\nHost: rude.example\r\n";
  switch (random_.below(7)) {
    case 0:
      return head;
    case 1:
      return "\x16\x03\x01 no request at all\r\n\r\n";
    case 2:
      return head + "X-Padding: " + std::string(large_head, 'x') + "\r\n\r\n";
    case 3:
      return head + "Content-Length: 1000\r\n\r\nhalf of it";
    case 4:
      return head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nwhich";
    case 5:
      return head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nno chunk";
    default:
      return head + "Content-Length: 2\r\n\r\nokGET / HTTP/1.1\r\n\r\n";
  }
}

void RudeClients::connect_one() {
  ++connected;
  Node& node = nodes_.random_node(random_);
  std::string const from = "127." + std::to_string(net_) + ".4." + std::to_string(1 + connected % 200);
  std::shared_ptr<TcpConnection> const link = TcpConnection::dial(node.front_address(), from, seconds(1));
  links_.push_back(link);
  if (links_.size() > max_links) links_.pop_front();
  std::string const text = random_bytes();
  bool const disconnects = random_.chance(0.5);
  bool const resets = random_.chance(0.5);
  std::weak_ptr<TcpConnection> const weak = link;
  link->set_callbacks({[weak, text, disconnects, resets] {
                         std::shared_ptr<TcpConnection> const at = weak.lock();
                         if (!at) return;
                         at->write(text);
                         if (disconnects) at->close(resets);
                       },
                       nullptr, nullptr, nullptr});
}

}  // namespace pipit::platform_fleet
