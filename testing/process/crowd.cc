#include "testing/process/crowd.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "testing/process/http_call.h"

namespace pipit::process_tests {

namespace {
using Clock = std::chrono::steady_clock;
constexpr std::chrono::seconds no_progress_limit(3);
constexpr std::chrono::seconds run_limit(40);
constexpr int poll_ms = 20;
constexpr std::size_t sent_a_turn = 256u << 10;
constexpr std::size_t kept_bytes = 64;

std::string post_head(std::string const& target, std::string const& fields) {
  return "POST " + target + " HTTP/1.1\r\n" + fields;
}
}  // namespace

Crowd::Crowd(CrowdPlan plan) : plan_(std::move(plan)), clients_(plan_.connections) {
  for (Client& client : clients_) client.fd = connect_to(plan_.address, false);
}

Crowd::~Crowd() {
  for (Client const& client : clients_)
    if (client.fd >= 0) ::close(client.fd);
}

bool Crowd::send_more(Client& client) {
  std::size_t const count = std::min(sent_a_turn, plan_.bytes->size() - client.sent);
  ssize_t const n = ::send(client.fd, plan_.bytes->data() + client.sent, count, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n > 0) client.sent += static_cast<std::size_t>(n);
  return n > 0;
}

bool Crowd::read_more(Client& client) {
  char buffer[65536];
  ssize_t const n = ::recv(client.fd, buffer, sizeof buffer, MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return false;
  if (n <= 0) {
    ::close(client.fd);
    client.fd = -1;
    return true;
  }
  std::size_t const kept =
      std::min(static_cast<std::size_t>(n), kept_bytes - std::min(kept_bytes, client.received.size()));
  client.received.append(buffer, kept);
  return true;
}

// Returns whether any client made progress.
bool Crowd::serve_events(int timeout_ms) {
  std::vector<pollfd> events;
  std::vector<Client*> owners;
  for (Client& client : clients_) {
    if (client.fd < 0) continue;
    short const wanted =
        static_cast<short>((client.sent < plan_.bytes->size() ? POLLOUT : 0) | (plan_.reads ? POLLIN : 0));
    events.push_back({client.fd, wanted, 0});
    owners.push_back(&client);
  }
  ::poll(events.data(), events.size(), timeout_ms);
  bool progress = false;
  for (std::size_t i = 0; i < events.size(); ++i) {
    Client& client = *owners[i];
    bool const ended = (events[i].revents & (POLLERR | POLLHUP)) != 0;
    if ((events[i].revents & POLLOUT) != 0 && !ended && send_more(client)) progress = true;
    if (((events[i].revents & POLLIN) != 0 || ended) && client.fd >= 0 && read_more(client)) progress = true;
  }
  return progress;
}

bool Crowd::finished() const {
  for (Client const& client : clients_)
    if (client.fd >= 0 && client.sent < plan_.bytes->size()) return false;
  return true;
}

void Crowd::run(std::function<void()> const& observe) {
  Clock::time_point const begin = Clock::now();
  Clock::time_point last_progress = begin;
  while (Clock::now() - begin < run_limit && Clock::now() - last_progress < no_progress_limit) {
    if (serve_events(poll_ms)) last_progress = Clock::now();
    observe();
    // The answers to those who don't read still pile up after the last request was sent.
    if (plan_.reads && finished()) break;
  }
  // What was sent last is still to be read by the process, and its answers by the clients.
  Clock::time_point const settled = Clock::now() + std::chrono::milliseconds(500);
  while (Clock::now() < settled) {
    serve_events(poll_ms);
    observe();
  }
}

std::size_t Crowd::open_connections() const {
  std::size_t count = 0;
  for (Client const& client : clients_)
    if (client.fd >= 0) ++count;
  return count;
}

std::map<unsigned, std::size_t> Crowd::statuses() const {
  std::map<unsigned, std::size_t> out;
  for (Client const& client : clients_)
    ++out[client.received.size() < 12 ? 0u
                                      : static_cast<unsigned>(std::strtoul(client.received.c_str() + 9, nullptr, 10))];
  return out;
}

std::shared_ptr<std::string const> body_with_length(std::string const& target, std::string const& fields,
                                                    std::size_t length, std::size_t missing) {
  std::string out = post_head(target, fields) + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
  out.append(length - missing, 'x');
  return std::make_shared<std::string const>(std::move(out));
}

std::shared_ptr<std::string const> body_in_chunks(std::string const& target, std::string const& fields,
                                                  std::size_t length, std::size_t chunk, bool unfinished) {
  std::string out = post_head(target, fields) + "Transfer-Encoding: chunked\r\n\r\n";
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", chunk);
  std::string const one = size + std::string(chunk, 'x') + "\r\n";
  for (std::size_t sent = 0; sent + chunk <= length; sent += chunk) out += one;
  if (!unfinished) out += "0\r\n\r\n";
  return std::make_shared<std::string const>(std::move(out));
}

std::shared_ptr<std::string const> head_of_short_fields(std::size_t length) {
  std::string out = "GET / HTTP/1.1\r\nHost: a\r\n";
  while (out.size() + 4 < length) out += "a:\r\n";
  return std::make_shared<std::string const>(std::move(out));
}

std::shared_ptr<std::string const> pipelined(std::string const& request, std::size_t times) {
  std::string out;
  for (std::size_t i = 0; i < times; ++i) out += request;
  return std::make_shared<std::string const>(std::move(out));
}

std::shared_ptr<std::string const> unfinished_frame(std::size_t length) {
  std::string out;
  for (int i = 0; i < 4; ++i) out += static_cast<char>((length >> (8 * i)) & 0xff);
  out.append(length - 1, 'x');
  return std::make_shared<std::string const>(std::move(out));
}

}  // namespace pipit::process_tests
