// Requests quota from the owners of tenants' limits on behalf of this node's client requests. Quota is requested for
// each client request after it arrived, so whatever runs in a window was also granted in it. Owners are asked one after
// the other until one allocates the full amount; an amount above what one of them can ever have is requested in chunks.
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

// Purpose of a QuotaRequest message: request quota, count usage after the fact, or return unused quota.
enum class QuotaPurpose : std::uint8_t { ask, debit, give_back };

// Nodes that can be asked for quota at the moment.
struct QuotaPeers {
  std::vector<std::string> owners;  // owners in reach, including this node if it is one
  std::vector<std::string> others;  // peers that may reach an owner, if this node reaches none
  std::size_t owner_count = 0;      // number of owners, in reach or not
};

// Quota needed by one client request.
struct QuotaRequest {
  std::uint64_t request = 0;
  std::string tenant;
  std::int64_t count = 0;
  Micros due = 0;  // deadline after which the quota is useless
};

// Outcome of a QuotaRequest.
struct QuotaResult {
  enum class Type : std::uint8_t { granted, refused, unreachable };
  std::uint64_t request = 0;
  Type type = Type::unreachable;
  Micros wait = 0;  // if refused: time until an owner may have the quota
};

// Sends quota requests and collects their results. Messages to send are appended to 'out'.
class QuotaClient {
 public:
  // 'first_request': request ids of this incarnation of the node follow this number.
  QuotaClient(std::string self, std::uint64_t first_request)
      : self_(std::move(self)), last_request_id_(first_request) {}

  // Starts to request quota. 'max_chunk': the most to request from one owner at once.
  void begin(QuotaRequest const& need, std::int64_t max_chunk, QuotaPeers const& peers, Micros now,
             std::vector<OutgoingMessage>& out);
  // Handles a reply. Returns an allocation that arrived after its request went to another owner or was cancelled.
  void take(std::string const& from, wire::QuotaReplyT const& reply, QuotaPeers const& peers, Micros now,
            std::vector<OutgoingMessage>& out);
  // Sends requests that were not answered in time to the next owner.
  void tick(QuotaPeers const& peers, Micros now, std::vector<OutgoingMessage>& out);
  // Abandons a client request and returns what was granted for it.
  void cancel(std::uint64_t request, std::vector<OutgoingMessage>& out);
  // Counts a retried attempt against the tenant's limit at one of the owners in reach, without waiting for a reply.
  void debit(std::string const& tenant, std::int64_t count, QuotaPeers const& peers, std::vector<OutgoingMessage>& out);
  std::vector<QuotaResult> results;  // consumed and cleared by the caller
  // Number of pending requests.
  std::size_t waiting() const { return pending_.size(); }

  // Counters since the start of the process.
  struct Tally {
    std::uint64_t asked = 0, messages = 0, timeouts = 0, given_back = 0;
  };
  Tally tally;

 private:
  struct Allocation {
    std::string owner;
    std::int64_t count = 0;
  };
  struct PendingRequest {
    QuotaRequest need;
    std::int64_t max_chunk = 0;
    std::vector<Allocation> allocations;
    std::int64_t missing = 0;
    std::map<std::string, int> attempted;  // owners or peers asked since the last allocation
    std::string target;                    // owner or peer that was asked last
    std::int64_t chunk = 0;                // amount requested from the target
    bool through_peer = false;
    Micros due = 0;
    Micros wait = -1;  // the shortest wait in a refusal; -1: no refusal
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
  void return_allocations(PendingRequest const& pending, std::vector<OutgoingMessage>& out);
  void finish(PendingRequest const& pending, QuotaResult::Type type, std::vector<OutgoingMessage>& out);

  std::string const self_;
  std::uint64_t last_request_id_;
  std::map<std::uint64_t, PendingRequest> pending_;
  std::map<Key, ExhaustedOwner> exhausted_owners_;
};

}  // namespace pipit
