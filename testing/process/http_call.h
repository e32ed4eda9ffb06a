// A blocking HTTP client for tests of whole processes.
#pragma once
#include <functional>
#include <string>

namespace pipit::process_tests {

// The answer to a request.
struct Reply {
  unsigned status = 0;  // 0: no complete answer came
  std::string head;
  std::string body;
  // The value of a header field, compared without regard to case; empty if there is none.
  std::string field(std::string const& name) const;
};

// Opens a connection to IP:port; returns the socket, or -1. Its sends and reads wait for 5 seconds at most.
int connect_to(std::string const& address, bool blocking = true);
// Sends the bytes of one request on a new connection and waits for its answer.
Reply call_http(std::string const& address, std::string const& request);
// A request with a Content-Length. 'fields' holds header lines, each with its line end.
std::string request_text(std::string const& start, std::string const& fields, std::string const& body);
// Repeats the call until it returns true, for 30 seconds at most; returns whether it did.
bool eventually(std::function<bool()> const& holds);

}  // namespace pipit::process_tests
