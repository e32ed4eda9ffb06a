// Crowds of clients that do not behave, against one address of a process.
#pragma once
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pipit::process_tests {

// What each client of a crowd does.
struct CrowdPlan {
  std::string address;                       // IP:port
  std::size_t connections = 0;               // clients, each with one connection
  std::shared_ptr<std::string const> bytes;  // sent by each client; the connection then stays open
  bool reads = true;                         // whether the clients read what is sent to them
};

// Clients on one thread. Their connections stay open until the crowd is destroyed.
class Crowd {
 public:
  explicit Crowd(CrowdPlan plan);
  ~Crowd();
  Crowd(Crowd const&) = delete;
  Crowd& operator=(Crowd const&) = delete;

  // Connects and sends until each client has sent all of its bytes or was closed, or none has made progress for some
  // time. Calls 'observe' now and then.
  void run(std::function<void()> const& observe);
  // Connections that the process has not closed.
  std::size_t open_connections() const;
  // Connections by the status of their first answer; 0 for those without one.
  std::map<unsigned, std::size_t> statuses() const;

 private:
  struct Client {
    int fd = -1;
    std::size_t sent = 0;
    std::string received;  // the first bytes only
  };
  bool send_more(Client& client);
  bool read_more(Client& client);
  bool serve_events(int timeout_ms);
  bool finished() const;

  CrowdPlan const plan_;
  std::vector<Client> clients_;
};

// A POST whose body of 'length' bytes lacks its last 'missing' bytes.
std::shared_ptr<std::string const> body_with_length(std::string const& target, std::string const& fields,
                                                    std::size_t length, std::size_t missing);
// A chunked POST with a body of 'length' bytes in chunks of 'chunk' bytes; without its last chunk if 'unfinished'.
std::shared_ptr<std::string const> body_in_chunks(std::string const& target, std::string const& fields,
                                                  std::size_t length, std::size_t chunk, bool unfinished);
// The start of a request whose head of 'length' bytes consists of the shortest fields and never ends.
std::shared_ptr<std::string const> head_of_short_fields(std::size_t length);
// A request, 'times' times in a row.
std::shared_ptr<std::string const> pipelined(std::string const& request, std::size_t times);
// The start of a frame of the mesh that announces 'length' bytes and lacks the last one.
std::shared_ptr<std::string const> unfinished_frame(std::size_t length);

}  // namespace pipit::process_tests
