#include "testing/platform_fleet_test/rude_clients.h"

#include "testing/platform_fleet_test/clock.h"

namespace pipit::platform_fleet {

namespace {
constexpr std::size_t links_most = 60;
constexpr std::size_t large_head = 40000;
}  // namespace

void RudeClients::come(int count, Micros gap) {
  for (int n = 0; n < count; ++n) after(gap * n, [this] { one(); });
}

// Nothing of it may reach a worker: what is whole goes to a path that no route has.
std::string RudeClients::random_text() {
  std::string const head = "POST /nowhere/ HTTP/1.1\r\nHost: rude.example\r\n";
  switch (random.below(7)) {
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

void RudeClients::one() {
  ++connected;
  Node& node = nodes.random_node(random);
  std::string const from = "127." + std::to_string(net) + ".4." + std::to_string(1 + connected % 200);
  std::shared_ptr<TcpConnection> const link = TcpConnection::dial(node.front_address(), from, seconds(1));
  links.push_back(link);
  if (links.size() > links_most) links.pop_front();
  std::string const text = random_text();
  bool const disconnects = random.chance(0.5);
  bool const resets = random.chance(0.5);
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
