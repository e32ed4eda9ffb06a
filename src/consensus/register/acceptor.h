// The register's acceptor on a machine with a disk. Nothing is answered before it is synced (§5.3).
#pragma once
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/micros.h"
#include "wire_generated.h"

namespace pipit {

inline bool operator<(wire::Ballot const& a, wire::Ballot const& b) {
  return a.n() != b.n() ? a.n() < b.n() : a.who() < b.who();
}
inline bool same(wire::Ballot const& a, wire::Ballot const& b) { return a.n() == b.n() && a.who() == b.who(); }
inline bool is_set(wire::Ballot const& ballot) { return ballot.n() != 0; }

// A message of the control plane, addressed by name; the mesh carries it.
struct OutgoingMessage {
  std::string to;
  wire::BodyUnion body;
};
template <class T>
OutgoingMessage message_to(std::string to, T&& body) {
  OutgoingMessage out;
  out.to = std::move(to);
  out.body.Set(std::forward<T>(body));
  return out;
}

class Acceptor {
 public:
  // The durable state as recovered, or formatted anew.
  explicit Acceptor(wire::RecordT recovered);

  // Messages are taken into a backlog; step() works through it while no sync is under way.
  void take(std::string from, wire::BodyUnion body);
  // Fills what to send; returns a record to sync when one is due.
  std::optional<wire::RecordT> step(std::vector<OutgoingMessage>& out);
  // Notes the seeds of the first start on a blank disk, so that a later incarnation may still take part in bootstrap;
  // step() has it synced.
  void await_bootstrap(std::vector<std::string> const& seeds);
  // Notes the set of replicas by which limits are handed out here; step() has it synced.
  void note_quota_members(std::uint64_t fingerprint);
  // The record that step() returned is synced.
  void synced(std::vector<OutgoingMessage>& out);

  wire::RecordT const& held() const { return synced_state_; }
  std::size_t backlog() const { return inbox_.size(); }

 private:
  // Each returns whether the durable state changed. The first one also checks what no message may do to it.
  bool handle(std::string const& from, wire::BodyUnion& body, std::vector<OutgoingMessage>& out);
  bool answer(std::string const& from, wire::BodyUnion& body, std::vector<OutgoingMessage>& out);
  bool prepare(std::string const& from, wire::PrepareT const& ask, std::vector<OutgoingMessage>& out);
  bool accept(std::string const& from, wire::AcceptT& ask, std::vector<OutgoingMessage>& out);
  bool bootstrap(wire::BootstrapT const& ask);
  // The value that an accept brings, whole or as a patch of the one that is held; nothing when its base is missing.
  std::unique_ptr<wire::ValueT> value_of(wire::AcceptT& ask) const;

  wire::RecordT state_;         // with what is not synced yet
  wire::RecordT synced_state_;  // what is synced
  bool busy_ = false;
  bool marked_ = false;  // the record was marked since the last step
  std::deque<std::pair<std::string, wire::BodyUnion>> inbox_;
  std::vector<OutgoingMessage> held_back_;
};

// What a replica tells of its value. The set of replicas goes along only when it is not the one that the asker knows.
wire::ReadReplyT read_reply(wire::RecordT const& state, wire::ReadRequestT const& ask);

}  // namespace pipit
