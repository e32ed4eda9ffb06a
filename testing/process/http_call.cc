#include "testing/process/http_call.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>

#include "base/ip.h"

namespace pipit::process_tests {

namespace {
constexpr timeval call_timeout = {5, 0};
constexpr std::chrono::seconds eventually_limit(30);
constexpr int retry_pause_ms = 50;

bool send_all(int fd, std::string const& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    ssize_t const n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Reads more bytes into 'received'; returns false at the end of the connection.
bool read_more(int fd, std::string& received) {
  char buffer[65536];
  ssize_t const n = ::recv(fd, buffer, sizeof buffer, 0);
  if (n <= 0) return false;
  received.append(buffer, static_cast<std::size_t>(n));
  return true;
}

// Whether the body is complete; the body's chunk framing is not removed.
bool body_complete(Reply const& reply) {
  std::string const length = reply.field("Content-Length");
  if (!length.empty()) return reply.body.size() >= std::strtoul(length.c_str(), nullptr, 10);
  if (reply.field("Transfer-Encoding") == "chunked")
    return reply.body.ends_with("\r\n0\r\n\r\n") || reply.body == "0\r\n\r\n";
  return reply.status == 204 || reply.status == 304;
}

Reply read_reply(int fd) {
  Reply reply;
  std::string received;
  std::size_t head_end = std::string::npos;
  while (head_end == std::string::npos) {
    if (!read_more(fd, received)) return reply;
    head_end = received.find("\r\n\r\n");
  }
  reply.head = received.substr(0, head_end + 2);
  reply.body = received.substr(head_end + 4);
  unsigned const status =
      reply.head.size() > 12 ? static_cast<unsigned>(std::strtoul(reply.head.c_str() + 9, nullptr, 10)) : 0;
  reply.status = status;
  while (!body_complete(reply))
    if (!read_more(fd, reply.body)) {
      reply.status = 0;
      return reply;
    }
  return reply;
}
}  // namespace

std::string Reply::field(std::string const& name) const {
  std::size_t at = 0;
  while ((at = head.find("\r\n", at)) != std::string::npos) {
    at += 2;
    if (::strncasecmp(head.c_str() + at, (name + ": ").c_str(), name.size() + 2) != 0) continue;
    std::size_t const begin = at + name.size() + 2;
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }
  return "";
}

int connect_to(std::string const& address, bool blocking) {
  std::string host;
  std::uint16_t port = 0;
  if (!split_address(address, host, port)) return -1;
  sockaddr_in remote = {};
  remote.sin_family = AF_INET;
  remote.sin_port = htons(port);
  if (::inet_pton(AF_INET, host.c_str(), &remote.sin_addr) != 1) return -1;
  int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | (blocking ? 0 : SOCK_NONBLOCK), 0);
  if (fd < 0) return -1;
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &call_timeout, sizeof call_timeout);
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &call_timeout, sizeof call_timeout);
  int const done = ::connect(fd, reinterpret_cast<sockaddr*>(&remote), sizeof remote);
  if (done == 0 || (!blocking && errno == EINPROGRESS)) return fd;
  ::close(fd);
  return -1;
}

Reply call_http(std::string const& address, std::string const& request) {
  int const fd = connect_to(address);
  if (fd < 0) return {};
  // Also after a failed send: the peer may have answered before it closed the connection.
  send_all(fd, request);
  Reply const reply = read_reply(fd);
  ::close(fd);
  return reply;
}

std::string request_text(std::string const& start, std::string const& fields, std::string const& body) {
  return start + " HTTP/1.1\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool eventually(std::function<bool()> const& holds) {
  std::chrono::steady_clock::time_point const end = std::chrono::steady_clock::now() + eventually_limit;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > end) return false;
    ::poll(nullptr, 0, retry_pause_ms);
  }
  return true;
}

}  // namespace pipit::process_tests
