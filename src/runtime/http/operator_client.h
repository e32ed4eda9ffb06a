// One request of an operator's tool, answered before it goes on (§8.2).
#pragma once
#include <string>

namespace pipit {

// A node's reply to an operator's request, or why there is none.
struct OperatorReply {
  unsigned status = 0;  // the HTTP status; 0: not reached
  std::string body;
  std::string serial;         // of the description that the reply is about
  std::string drained_zones;  // joined by commas
  std::string change_id;      // the change's id, by which its outcome can be read later
  std::string error;          // why the node was not reached
};

// Sends one HTTP request and waits for the reply, for ten seconds at most. 'body' may be null; 'expected' is the serial
// for If-Match, or empty.
OperatorReply call_operator_api(char const* method, std::string const& address, std::string const& path,
                                std::string const* body, std::string const& expected_serial);
// The tools' exit codes: 0 done, 1 refused, 2 bad input, 3 outcome unknown, 4 not reached or no majority, 5 not
// confirmed.
int exit_code_of(OperatorReply const& reply);

}  // namespace pipit
