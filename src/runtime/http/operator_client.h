// Blocking HTTP client for the operators' command line tools (§8.2).
#pragma once
#include <string>

namespace pipit {

// A node's reply to an operator's request, or the error if there is none.
struct OperatorReply {
  unsigned status = 0;  // HTTP status; 0: the node was not reached
  std::string body;
  std::string serial;         // serial of the description that the reply refers to
  std::string drained_zones;  // separated by commas
  std::string change_id;      // id by which the outcome of the change can be read later
  std::string error;          // why the node was not reached
};

// Sends one HTTP request and waits for the reply, for ten seconds at most. 'body' may be null; 'expected_serial' is the
// serial for If-Match, or empty.
OperatorReply call_operator_api(char const* method, std::string const& address, std::string const& path,
                                std::string const* body, std::string const& expected_serial);
// Returns the exit code of the tools for a reply: 0 done, 1 refused, 2 bad input, 3 outcome unknown, 4 not reached or
// no majority, 5 not confirmed.
int exit_code_of(OperatorReply const& reply);

}  // namespace pipit
