// The log: numbered events, one line each. docs/events.md lists them, and a test compares the two (§9.1). All functions
// are thread-safe, except open_log() and mute_log(), which are called before other threads start.
#pragma once
#include <string>

namespace pipit {

// EVENT(number, name, level, sentence)
#define PIPIT_EVENTS(EVENT)                                                                                 \
  EVENT(100, process_started, INFO, "the process listens on its addresses")                                 \
  EVENT(101, process_stopped, INFO, "the process has shut down")                                            \
  EVENT(102, drain_began, INFO, "the node announced to its peers that it is leaving")                       \
  EVENT(108, grace_began, INFO, "planned stop: /ready reports not ready, requests are still accepted")      \
  EVENT(103, settings_applied, INFO, "new settings are in force")                                           \
  EVENT(104, settings_rejected, WARNING, "new settings were rejected; the old ones stay in force")          \
  EVENT(105, clock_jumped, WARNING, "the process was suspended or its clock jumped")                        \
  EVENT(106, node_isolated, WARNING, "the node's worker list is stale; requests are not placed")            \
  EVENT(107, node_rejoined, INFO, "the node's worker list is up to date again")                             \
  EVENT(109, node_ready, INFO, "the node accepts requests")                                                 \
  EVENT(110, node_not_ready, WARNING, "the node is not ready to accept requests")                           \
  EVENT(111, metrics_listen_failed, WARNING, "the node cannot listen on the metrics address")               \
  EVENT(112, descriptors_exhausted, WARNING, "no file descriptor is left for new connections")              \
  EVENT(113, connections_limited, WARNING, "connections were closed for want of memory or connections")     \
  EVENT(114, held_bytes_rose, INFO, "connections hold twice as many bytes as was logged last")              \
  EVENT(200, connection_opened, INFO, "a connection to a peer was opened")                                  \
  EVENT(201, connection_closed, INFO, "a connection to a peer was closed")                                  \
  EVENT(202, malformed_frame, WARNING, "a connection delivered a malformed frame")                          \
  EVENT(203, foreign_cluster, WARNING, "a node of another cluster opened a connection")                     \
  EVENT(204, frame_too_large, ERROR, "a frame over the size limit was not sent")                            \
  EVENT(205, peer_backlog_dropped, WARNING, "a peer read too slowly; the connection to it was dropped")     \
  EVENT(206, mesh_traffic_high, INFO, "mesh traffic of this node was high within one second")               \
  EVENT(207, report_hub_changed, INFO, "another node passes on the reports of this zone")                   \
  EVENT(210, peer_alive, INFO, "a peer is alive")                                                           \
  EVENT(211, peer_suspected, WARNING, "a peer did not answer a probe")                                      \
  EVENT(212, peer_down, WARNING, "a peer is down")                                                          \
  EVENT(213, peer_leaving, INFO, "a peer is leaving")                                                       \
  EVENT(214, suspicion_refuted, INFO, "the node refuted a suspicion against itself")                        \
  EVENT(220, tree_pulled, INFO, "a prefix tree was pulled from a peer")                                     \
  EVENT(221, tree_stalled, WARNING, "the pull of a prefix tree stalled")                                    \
  EVENT(300, register_bootstrapped, INFO, "the initial replica set was written")                            \
  EVENT(301, value_chosen, INFO, "a value of the register was chosen")                                      \
  EVENT(302, configuration_in_force, INFO, "a description took effect on this node")                        \
  EVENT(303, configuration_rejected, ERROR, "a chosen description does not compile on this node")           \
  EVENT(304, change_rejected, INFO, "a change was rejected")                                                \
  EVENT(305, change_outcome_unknown, WARNING, "the outcome of a change is unknown")                         \
  EVENT(306, replica_formatted, INFO, "the blank data folder of a replica was formatted")                   \
  EVENT(307, replica_recovered, INFO, "the replica recovered its last synced state")                        \
  EVENT(308, disk_failed, ERROR, "a sync to disk failed; the replica stops")                                \
  EVENT(309, replica_set_changed, INFO, "one member of the replica set was changed")                        \
  EVENT(310, lease_acquired, INFO, "this node acquired the lease of a singleton role")                      \
  EVENT(311, lease_released, INFO, "this node released the lease of a singleton role")                      \
  EVENT(312, replicas_repaired, INFO, "stale replicas of the register were rewritten")                      \
  EVENT(313, router_registered, INFO, "this incarnation of the router was registered")                      \
  EVENT(314, router_evicted, INFO, "a dead router was evicted from the register")                           \
  EVENT(315, disk_write_retried, WARNING, "the disk rejected a record; the write is retried")               \
  EVENT(316, operator_call_answered, INFO, "an operator's request was answered")                            \
  EVENT(317, value_forwarded, INFO, "a chosen value was forwarded to the nodes of this zone")               \
  EVENT(400, worker_joined, INFO, "a worker accepts requests")                                              \
  EVENT(401, worker_leaving, INFO, "a worker is draining")                                                  \
  EVENT(402, worker_removed, INFO, "a worker was removed from the list")                                    \
  EVENT(403, worker_unhealthy, WARNING, "a worker does not answer")                                         \
  EVENT(404, worker_recovered, INFO, "an unhealthy worker answers again")                                   \
  EVENT(405, list_failed, WARNING, "the platform's worker list could not be read")                          \
  EVENT(406, list_recovered, INFO, "the platform's worker list can be read again")                          \
  EVENT(407, worker_suspected, WARNING, "a connection to a worker broke or stalled")                        \
  EVENT(408, worker_departure_answered, INFO, "a worker's report of its departure was answered")            \
  EVENT(500, chat_request_rejected, INFO, "a chat request was rejected")                                    \
  EVENT(501, chat_attempt_failed, WARNING, "an attempt of a chat request failed")                           \
  EVENT(502, chat_request_retried, INFO, "a chat request is retried")                                       \
  EVENT(503, stream_broken, WARNING, "a stream broke before its end")                                       \
  EVENT(504, attempt_failed, WARNING, "an attempt to send a request to a worker failed")                    \
  EVENT(505, request_failed, INFO, "a request ended without success")                                       \
  EVENT(506, request_failures_suppressed, WARNING,                                                          \
        "request failures beyond the log limit were counted but not logged")                                \
  EVENT(507, call_rejected, INFO, "a malformed request was rejected")                                       \
  EVENT(508, last_answer_lost, WARNING, "a client's connection ended before its last answer was delivered") \
  EVENT(900, fault_armed, WARNING, "a fault point was armed")                                               \
  EVENT(901, fault_fired, WARNING, "a fault point fired")                                                   \
  EVENT(910, invariant_violated, ERROR, "an invariant was violated")

// The events of the log; the value is the number.
enum class Event : unsigned {
#define EVENT(number, name, level, text) name = number,
  PIPIT_EVENTS(EVENT)
#undef EVENT
};

// One row of the table above.
struct EventRow {
  unsigned number;
  char const* name;
  char const* level;
  char const* text;
};
// Returns the first row of the table and sets 'count' to the number of rows.
EventRow const* event_rows(std::size_t& count);

// Opens the log. Each line contains 'node'; an empty 'file' selects standard output.
void open_log(std::string const& node, std::string const& file);
// Logs an event unless the log is muted; 'detail' follows the event's sentence.
void log_event(Event event, std::string const& detail);
// Logs an event even while the log is muted, for events that must never be hidden, such as violated invariants.
void log_always(Event event, std::string const& detail);
// Mutes or unmutes the log; used by simulators and tests.
void mute_log(bool muted);
// Returns whether the log is muted.
bool log_is_muted();
// The text before each event of this thread; simulators set it to the simulated node and time.
std::string& log_prefix();

}  // namespace pipit
