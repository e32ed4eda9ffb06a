// Asks for parts of tenants' limits on behalf of this node's requests. Each request asks for itself, after it came: so
// whatever runs in a window was also granted in it. Owners are asked one after the other until one gives the whole;
// what is more than one of them may ever have is asked for in pieces.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/micros.h"
#include "consensus/register/outgoing_message.h"
#include "routing/tenants/quota_budget.h"

namespace pipit {

enum class QuotaPurpose : std::uint8_t { ask, debit, give_back };

// Who can be asked at the moment.
struct QuotaPeers {
  std::vector<std::string> owners;  // that are reached, this node among them where it is one
  std::vector<std::string> others;  // peers that may reach an owner, where none is reached here
  std::size_t owner_count = 0;      // of all, reached or not
};

struct QuotaRequest {
  std::uint64_t request = 0;
  std::string tenant;
  std::int64_t count = 0;
  Micros due = 0;  // when it is no use any more
};

// How a request's asking ended.
struct QuotaResult {
  enum class Type : std::uint8_t { granted, refused, unreachable };
  std::uint64_t request = 0;
  Type type = Type::unreachable;
  Micros wait = 0;  // of a refusal
};

class QuotaClient {
 public:
  // 'first_request' numbers the questions of this incarnation of the node.
  QuotaClient(std::string self, std::uint64_t first_request) : self_(std::move(self)), next_(first_request) {}

  // 'piece_most': more is not asked of one owner at once.
  void begin(QuotaRequest const& wanted, std::int64_t max_chunk, QuotaPeers const& peers, Micros now,
             std::vector<OutgoingMessage>& out);
  void take(std::string const& from, wire::QuotaReplyT const& reply, QuotaPeers const& peers, Micros now,
            std::vector<OutgoingMessage>& out);
  // Questions that were not answered in time go to the next owner.
  void tick(QuotaPeers const& peers, Micros now, std::vector<OutgoingMessage>& out);
  // The request is gone: what was granted for it goes back.
  void cancel(std::uint64_t request, std::vector<OutgoingMessage>& out);
  // What is sent once more is counted where it can be, and nobody waits for that.
  void debit(std::string const& tenant, std::int64_t count, QuotaPeers const& peers, std::vector<OutgoingMessage>& out);
  std::vector<QuotaResult> results;  // for the caller to take
  std::size_t waiting() const { return pending_.size(); }

  struct Tally {
    std::uint64_t asked = 0, messages = 0, timeouts = 0, given_back = 0;
  };
  Tally tally;

 private:
  struct Grant {
    std::string owner;
    std::int64_t count = 0;
  };
  struct PendingRequest {
    QuotaRequest wanted;
    std::int64_t max_chunk = 0;
    std::vector<Grant> grants;
    std::int64_t missing = 0;
    std::map<std::string, int> attempted;  // owners or peers since one last gave something
    std::string target;                    // who is asked now
    std::int64_t chunk = 0;                // for how much
    bool through_peer = false;
    Micros due = 0;
    Micros wait = -1;  // the shortest that an owner told
  };
  struct ExhaustedOwner {  // an owner that had less than 'count'
    Micros until = 0;
    std::int64_t count = 0;
  };
  using Key = std::pair<std::string, std::string>;  // tenant, owner

  void send_next(std::uint64_t request_id, PendingRequest pending, QuotaPeers const& peers, Micros now,
                 std::vector<OutgoingMessage>& out);
  std::optional<std::string> next_owner(PendingRequest& pending, QuotaPeers const& peers, Micros now) const;
  std::optional<std::string> next_peer(PendingRequest const& pending, QuotaPeers const& peers) const;
  void return_grants(PendingRequest const& pending, std::vector<OutgoingMessage>& out);
  void finish(PendingRequest const& pending, QuotaResult::Type type, std::vector<OutgoingMessage>& out);

  std::string const self_;
  std::uint64_t next_;
  std::map<std::uint64_t, PendingRequest> pending_;
  std::map<Key, ExhaustedOwner> exhausted_owners_;
};

}  // namespace pipit
