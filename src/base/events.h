// The log: numbered events, one line each. docs/events.md lists them, and a test compares the two (§9.1). All functions
// may be called from any thread, except open_log() and mute_log(), which belong to the start of a program.
#pragma once
#include <string>

namespace pipit {

// EVENT(number, name, level, sentence)
#define PIPIT_EVENTS(EVENT)                                                                                        \
  EVENT(100, process_started, INFO, "the process serves its addresses")                                            \
  EVENT(101, process_stopped, INFO, "the process has ended its work")                                              \
  EVENT(102, drain_began, INFO, "the node announced that it leaves")                                               \
  EVENT(108, grace_began, INFO, "a planned stop: /ready says no, requests are still taken")                        \
  EVENT(103, settings_applied, INFO, "new settings are in force")                                                  \
  EVENT(104, settings_rejected, WARNING, "new settings were rejected; the old stay")                               \
  EVENT(105, clock_jumped, WARNING, "the node was stopped for a while")                                            \
  EVENT(106, node_isolated, WARNING, "no late reading of the list is known; nothing is placed")                    \
  EVENT(107, node_rejoined, INFO, "the list is known again")                                                       \
  EVENT(109, node_ready, INFO, "the node takes requests")                                                          \
  EVENT(110, node_not_ready, WARNING, "the node waits before it takes requests")                                   \
  EVENT(111, metrics_listen_failed, WARNING, "the metrics' address cannot be listened on")                         \
  EVENT(112, descriptors_exhausted, WARNING, "no descriptor is left for new connections")                          \
  EVENT(200, connection_opened, INFO, "a connection to a peer was opened")                                         \
  EVENT(201, connection_closed, INFO, "a connection to a peer was closed")                                         \
  EVENT(202, malformed_frame, WARNING, "a connection brought bytes that are no frame")                             \
  EVENT(203, foreign_cluster, WARNING, "a connection came from a node of another cluster")                         \
  EVENT(204, frame_too_large, ERROR, "a frame over the limit was not sent")                                        \
  EVENT(205, peer_backlog_dropped, WARNING, "a peer took too little of what was sent; its connection was dropped") \
  EVENT(206, mesh_traffic_high, INFO, "peers and this node exchanged much in a second")                            \
  EVENT(210, peer_alive, INFO, "a peer is alive")                                                                  \
  EVENT(211, peer_suspected, WARNING, "a peer did not answer a probe")                                             \
  EVENT(212, peer_down, WARNING, "a peer is down")                                                                 \
  EVENT(213, peer_leaving, INFO, "a peer is leaving")                                                              \
  EVENT(214, suspicion_refuted, INFO, "the node refuted a suspicion of itself")                                    \
  EVENT(220, tree_pulled, INFO, "a prefix tree was pulled from a peer")                                            \
  EVENT(221, tree_stalled, WARNING, "the pull of a prefix tree stalled")                                           \
  EVENT(300, register_bootstrapped, INFO, "the initial replica set is written")                                    \
  EVENT(301, value_chosen, INFO, "a value of the register was chosen")                                             \
  EVENT(302, configuration_in_force, INFO, "a description is in force on this node")                               \
  EVENT(303, configuration_rejected, ERROR, "a chosen description did not compile here")                           \
  EVENT(304, change_rejected, INFO, "a change was refused")                                                        \
  EVENT(305, change_outcome_unknown, WARNING, "the outcome of a change is not known")                              \
  EVENT(306, replica_formatted, INFO, "the data folder of a replica was blank and is formatted")                   \
  EVENT(307, replica_recovered, INFO, "the last synced state was recovered")                                       \
  EVENT(308, disk_failed, ERROR, "a sync failed; the replica stops")                                               \
  EVENT(309, replica_set_changed, INFO, "the replica set is changed by one member")                                \
  EVENT(310, lease_acquired, INFO, "this node holds the lease of a singleton role")                                \
  EVENT(311, lease_released, INFO, "this node released the lease of a singleton role")                             \
  EVENT(312, replicas_repaired, INFO, "stale replicas of the register are rewritten")                              \
  EVENT(313, router_registered, INFO, "this incarnation of the router is registered")                              \
  EVENT(314, router_evicted, INFO, "a router that is gone is evicted from the register")                           \
  EVENT(315, disk_write_retried, WARNING, "the disk refused a record; it is written again")                        \
  EVENT(316, operator_call_answered, INFO, "an operator's call was answered")                                      \
  EVENT(400, worker_joined, INFO, "a worker takes requests")                                                       \
  EVENT(401, worker_leaving, INFO, "a worker is draining")                                                         \
  EVENT(402, worker_removed, INFO, "a worker is no longer listed")                                                 \
  EVENT(403, worker_unhealthy, WARNING, "a worker does not answer")                                                \
  EVENT(404, worker_recovered, INFO, "an unhealthy worker answers again")                                          \
  EVENT(405, list_failed, WARNING, "the platform's list could not be read")                                        \
  EVENT(406, list_recovered, INFO, "the platform's list can be read again")                                        \
  EVENT(407, worker_suspected, WARNING, "a connection to a worker broke or fell silent")                           \
  EVENT(408, worker_departure_answered, INFO, "a worker's report of its departure was answered")                   \
  EVENT(500, chat_request_rejected, INFO, "a chat request was rejected")                                           \
  EVENT(501, chat_attempt_failed, WARNING, "an attempt of a chat request failed")                                  \
  EVENT(502, chat_request_retried, INFO, "a chat request is sent a second time")                                   \
  EVENT(503, stream_broken, WARNING, "a stream ended before its end")                                              \
  EVENT(504, attempt_failed, WARNING, "an attempt at a worker failed")                                             \
  EVENT(505, request_failed, INFO, "a request ended without success")                                              \
  EVENT(506, request_failures_suppressed, WARNING, "failed requests beyond the log limit were only counted")       \
  EVENT(507, call_rejected, INFO, "a call could not be read and was rejected")                                     \
  EVENT(508, last_answer_lost, WARNING, "a caller's connection ended before its last answer was taken")            \
  EVENT(900, fault_armed, WARNING, "a fault point was armed")                                                      \
  EVENT(901, fault_fired, WARNING, "a fault point fired")                                                          \
  EVENT(910, invariant_violated, ERROR, "an invariant does not hold")

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
// The first row; 'count' is set to their number.
EventRow const* event_rows(std::size_t& count);

// Opens the log: 'node' stands in each line; an empty 'file' means standard output.
void open_log(std::string const& node, std::string const& file);
// Logs an event unless the log is muted; the detail follows the event's sentence.
void log_event(Event event, std::string const& detail);
// Logs an event even while the log is muted, for what must never go unseen.
void log_always(Event event, std::string const& detail);
// Simulators and tests mute the log.
void mute_log(bool muted);
bool log_is_muted();
// Text before each event of this thread; simulators set it to the simulated node and time.
std::string& log_prefix();

}  // namespace pipit
