// The register with membership changes, repeated orders and patches. The tests run the real proposers, learners and
// acceptors and deliver every message explicitly (docs/control.md).
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "consensus/register/acceptor.h"
#include "consensus/register/learner.h"
#include "consensus/register/orders.h"
#include "consensus/register/proposer.h"
#include "consensus/register/value_patch.h"

namespace pipit {

namespace {
wire::ReplicaT replica_named(std::string const& name, std::uint64_t disk) {
  wire::ReplicaT out;
  out.name = name;
  out.disk = disk;
  return out;
}

Membership members_of(std::uint64_t epoch, std::vector<std::string> const& names) {
  Membership out;
  out.epoch = epoch;
  for (std::string const& name : names) out.replicas.push_back(replica_named(name, std::stoull(name.substr(1))));
  return out;
}

// Replicas whose disks sync at once. Only the messages that a test allows are delivered.
class Cluster {
 public:
  explicit Cluster(Membership const& members, std::vector<std::string> const& blank = {}) : first_membership_(members) {
    for (wire::ReplicaT const& replica : members.replicas) add(replica.name, true);
    for (std::string const& name : blank) add(name, false);
  }

  Proposer& proposer(std::string const& name) {
    if (!proposers_.count(name)) {
      proposers_.emplace(name, std::make_unique<Proposer>(name, 7 + proposers_.size()));
      proposers_.at(name)->adopt_membership(first_membership_);
    }
    return *proposers_.at(name);
  }

  // Submits a change and delivers the proposer's messages to the replicas in `reachable` only. If `accept_reachable` is
  // given, accept requests are delivered to those replicas instead.
  void propose(std::string const& proposer_name, Change change, std::vector<std::string> const& reachable,
               std::vector<std::string> const& accept_reachable = {}) {
    Proposer& sender = proposer(proposer_name);
    EXPECT_TRUE(sender.submit(
        std::move(change), [this, proposer_name](Outcome const& out) { outcomes[proposer_name].push_back(out); }, now));
    run(proposer_name, reachable, accept_reachable.empty() ? reachable : accept_reachable);
  }

  void run(std::string const& proposer_name, std::vector<std::string> const& reachable,
           std::vector<std::string> const& accept_reachable) {
    for (int count = 0; count < 60 && proposer(proposer_name).pending_count() > 0; ++count) {
      tick_proposer(proposer_name, reachable, accept_reachable);
      now += millis(100);
    }
  }

  // One tick of a proposer, with the delivery of all resulting messages.
  void tick_proposer(std::string const& proposer_name, std::vector<std::string> const& reachable,
                     std::vector<std::string> const& accept_reachable) {
    Proposer& sender = proposer(proposer_name);
    std::vector<OutgoingMessage> outgoing;
    sender.tick(now, outgoing);
    while (!outgoing.empty()) {
      std::vector<OutgoingMessage> batch;
      batch.swap(outgoing);
      for (OutgoingMessage& item : batch) {
        bool const accept = item.body.AsAccept() != nullptr;
        std::vector<std::string> const& to = accept ? accept_reachable : reachable;
        if (std::find(to.begin(), to.end(), item.to) == to.end()) continue;
        for (OutgoingMessage& reply : deliver(item.to, proposer_name, std::move(item.body)))
          sender.handle_reply(item.to, reply.body, now, outgoing);
      }
    }
  }

  std::vector<OutgoingMessage> deliver(std::string const& to, std::string const& from, wire::BodyUnion body) {
    std::vector<OutgoingMessage> replies;
    Acceptor& acceptor = *acceptors_.at(to);
    acceptor.enqueue(from, std::move(body));
    if (acceptor.step(replies)) acceptor.on_synced(replies);
    return replies;
  }

  Change apply(std::string const& text, std::uint64_t based_on, std::uint64_t label) const {
    Change change;
    change.type = Change::Type::apply;
    change.id = text;
    change.text = text;
    change.expected = based_on;
    change.label = label;
    return change;
  }

  Change admit(std::string const& name, std::uint64_t epoch) const {
    Change change;
    change.type = Change::Type::admit;
    change.id = "admit-" + name;
    change.replica = replica_named(name, std::stoull(name.substr(1)));
    change.expected = epoch;
    return change;
  }

  Change read() const {
    Change change;
    change.id = "read";
    return change;
  }

  Outcome const& last_outcome(std::string const& proposer_name) { return outcomes[proposer_name].back(); }
  Acceptor& acceptor(std::string const& name) { return *acceptors_.at(name); }

  Micros now = seconds(1);
  std::map<std::string, std::vector<Outcome>> outcomes;

 private:
  void add(std::string const& name, bool formed) {
    wire::RecordT record;
    record.cluster = "c";
    record.name = name;
    record.disk = std::stoull(name.substr(1));
    record.formed = formed;
    if (formed) {
      record.accepted = wire::Ballot(1, first_membership_.fingerprint());
      record.value = std::make_unique<wire::ValueT>();
      store_membership(first_membership_, *record.value);
    }
    acceptors_.emplace(name, std::make_unique<Acceptor>(std::move(record)));
  }

  Membership const first_membership_;
  std::map<std::string, std::unique_ptr<Acceptor>> acceptors_;
  std::map<std::string, std::unique_ptr<Proposer>> proposers_;
};

std::size_t chosen_in(std::vector<Outcome> const& outcomes) {
  return static_cast<std::size_t>(std::count_if(
      outcomes.begin(), outcomes.end(), [](Outcome const& outcome) { return outcome.type == Outcome::Type::chosen; }));
}
}  // namespace

// Two joint memberships are accepted by one replica each, and two proposers each see one of them. If a majority of the
// new set alone were a quorum, the two quorums would not intersect and both proposers would confirm a change based on
// the same label.
TEST(Membership, unchosen_joint_sets_do_not_split_the_register) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3", "k4"}), {"k5", "k6"});
  cluster.propose("p1", cluster.admit("k5", 2), {"k1", "k2", "k3"}, {"k1"});
  cluster.propose("p2", cluster.admit("k6", 2), {"k2", "k3", "k4"}, {"k4"});
  cluster.propose("p3", cluster.apply("A", 0, 7), {"k1", "k2", "k3", "k5"}, {"k1", "k2", "k5"});
  cluster.propose("p4", cluster.apply("B", 0, 9), {"k2", "k3", "k4", "k6"}, {"k3", "k4", "k6"});
  EXPECT_LE(chosen_in(cluster.outcomes["p3"]) + chosen_in(cluster.outcomes["p4"]), 1u);
}

TEST(Membership, next_change_completes_an_abandoned_joint_set) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}), {"k4"});
  cluster.propose("p1", cluster.admit("k4", 2), {"k1", "k2", "k3", "k4"}, {"k1"});
  cluster.propose("p2", cluster.apply("A", 0, 7), {"k1", "k2", "k3", "k4"});
  ASSERT_EQ(cluster.last_outcome("p2").type, Outcome::Type::chosen);
  Membership const members = membership_of(cluster.last_outcome("p2").value);
  EXPECT_EQ(members.replicas.size(), 4u);
  EXPECT_FALSE(members.is_joint());
  EXPECT_EQ(cluster.last_outcome("p2").value.label, 7u);
}

// A replica is replaced in one change: at no time does the loss of one more replica end the majority.
TEST(Membership, replacement_keeps_a_majority_after_one_more_loss) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}), {"k4"});
  // k1, the replica to be replaced, has the newest value.
  cluster.propose("p1", cluster.apply("A", 0, 7), {"k1", "k2", "k3"}, {"k1", "k2"});
  Change change = cluster.admit("k4", 2);
  change.type = Change::Type::replace;
  change.replaced_replica = replica_named("k1", 1);
  cluster.propose("p1", change, {"k2", "k3", "k4"});
  ASSERT_EQ(cluster.last_outcome("p1").type, Outcome::Type::chosen);
  EXPECT_EQ(membership_of(cluster.last_outcome("p1").value).participant_names(),
            (std::vector<std::string>{"k2", "k3", "k4"}));
  // k2, the last replica that accepted the order, is lost as well. The reader knows the new membership from its peers.
  cluster.proposer("p2").adopt_membership(membership_of(cluster.last_outcome("p1").value));
  cluster.propose("p2", cluster.read(), {"k3", "k4"});
  ASSERT_FALSE(cluster.outcomes["p2"].empty());
  EXPECT_EQ(cluster.last_outcome("p2").value.label, 7u);
}

TEST(Membership, unreachable_joint_set_does_not_block_the_former_set) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}), {"k4"});
  cluster.propose("p1", cluster.admit("k4", 2), {"k1", "k2", "k3"}, {"k3"});
  // k4 is lost, and so is k3 with the joint membership. The majority that never saw it continues.
  cluster.propose("p2", cluster.apply("A", 0, 7), {"k1", "k2"});
  EXPECT_EQ(cluster.last_outcome("p2").type, Outcome::Type::chosen);
}

// Proposer p1 makes many changes while p2 replaces a member. The timers of p2 expire less often than p1 makes changes,
// so that a ballot just above the last rejection would always be outbid.
TEST(Proposer, membership_change_is_not_starved_by_changes_of_a_rival) {
  Cluster cluster(members_of(1, {"k1", "k2", "k3"}), {"k4"});
  std::vector<std::string> const reachable{"k1", "k2", "k4"};
  std::uint64_t label = 0;
  bool is_chosen = false;
  Change replace = cluster.admit("k4", 1);
  replace.type = Change::Type::replace;
  replace.replaced_replica = replica_named("k3", 3);
  ASSERT_TRUE(cluster.proposer("p2").submit(
      std::move(replace), [&is_chosen](Outcome const& out) { is_chosen = out.type == Outcome::Type::chosen; },
      cluster.now));
  for (int turn = 0; turn < 12 && !is_chosen; ++turn) {
    for (int change = 0; change < 2; ++change, ++label)
      cluster.propose("p1", cluster.apply("text-" + std::to_string(label), label, label + 1), reachable);
    cluster.tick_proposer("p2", reachable, reachable);
  }
  EXPECT_TRUE(is_chosen);
  EXPECT_EQ(cluster.proposer("p2").membership().epoch, 3u);
}

TEST(Proposer, restarted_proposer_does_not_reuse_ballots) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  std::vector<wire::Ballot> ballots;
  for (std::uint64_t incarnation = 1; incarnation <= 2; ++incarnation) {
    Proposer proposer("n", incarnation);
    proposer.adopt_membership(members_of(2, {"k1", "k2", "k3"}));
    ASSERT_TRUE(proposer.submit(
        cluster.read(), [](Outcome const&) {}, 0));
    std::vector<OutgoingMessage> outgoing;
    proposer.tick(0, outgoing);
    ASSERT_EQ(outgoing.size(), 3u);
    ballots.push_back(outgoing.front().body.AsPrepare()->ballot);
  }
  EXPECT_FALSE(same_ballot(ballots[0], ballots[1]));
}

// Guards against equal proposer ids: the seed was the clock XOR the hash of the name, and the proposer cancelled that
// hash again. All nodes then had the same proposer id and rivals the same backoff.
TEST(Proposer, nodes_have_distinct_proposer_ids) {
  std::vector<wire::Ballot> ballots;
  for (std::string const& name : {std::string("n1"), std::string("n2")}) {
    Proposer proposer(name, hash_text(name));
    proposer.adopt_membership(members_of(2, {"k1", "k2", "k3"}));
    ASSERT_TRUE(proposer.submit(
        Change(), [](Outcome const&) {}, 0));
    std::vector<OutgoingMessage> outgoing;
    proposer.tick(0, outgoing);
    ASSERT_EQ(outgoing.size(), 3u);
    ballots.push_back(outgoing.front().body.AsPrepare()->ballot);
  }
  EXPECT_FALSE(same_ballot(ballots[0], ballots[1]));
}

// A reply to a former incarnation of the node must not count, even if the request ids are the same.
TEST(Proposer, promise_of_another_ballot_does_not_count) {
  Proposer proposer("n", 1);
  proposer.adopt_membership(members_of(2, {"k1", "k2", "k3"}));
  Cluster const cluster(members_of(2, {"k1", "k2", "k3"}));
  ASSERT_TRUE(proposer.submit(
      cluster.apply("A", 0, 1), [](Outcome const&) {}, 0));
  std::vector<OutgoingMessage> outgoing;
  proposer.tick(0, outgoing);
  ASSERT_EQ(outgoing.size(), 3u);
  wire::PrepareT const request = *outgoing.front().body.AsPrepare();
  outgoing.clear();
  wire::ValueT value;
  store_membership(members_of(2, {"k1", "k2", "k3"}), value);
  for (std::uint64_t disk = 1; disk <= 2; ++disk) {
    wire::PromiseT promise;
    promise.request_id = request.request_id;
    promise.disk = disk;
    promise.ok = true;
    promise.promised = disk == 1 ? request.ballot : wire::Ballot(request.ballot.n() - 1, request.ballot.who());
    promise.accepted = wire::Ballot(1, 1);
    promise.value = std::make_unique<wire::ValueT>(value);
    proposer.handle_reply("k" + std::to_string(disk), message_to("n", std::move(promise)).body, 0, outgoing);
  }
  EXPECT_TRUE(outgoing.empty()) << "the accept phase started with one promise of three";
}

TEST(Proposer, acceptance_of_another_ballot_does_not_count) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  Proposer proposer("n", 1);
  proposer.adopt_membership(members_of(2, {"k1", "k2", "k3"}));
  std::vector<Outcome> outcomes;
  ASSERT_TRUE(proposer.submit(
      cluster.apply("A", 0, 1), [&outcomes](Outcome const& outcome) { outcomes.push_back(outcome); }, 0));
  std::vector<OutgoingMessage> requests;
  std::vector<OutgoingMessage> accepts;
  proposer.tick(0, requests);
  for (OutgoingMessage& request : requests)
    for (OutgoingMessage& reply : cluster.deliver(request.to, "n", std::move(request.body)))
      proposer.handle_reply(request.to, reply.body, 0, accepts);
  ASSERT_FALSE(accepts.empty());
  wire::AcceptT const request = *accepts.front().body.AsAccept();
  for (std::uint64_t disk = 1; disk <= 2; ++disk) {
    wire::AcceptedT accepted;
    accepted.request_id = request.request_id;
    accepted.disk = disk;
    accepted.ok = true;
    accepted.promised = disk == 1 ? request.ballot : wire::Ballot(request.ballot.n() - 1, request.ballot.who());
    std::vector<OutgoingMessage> more;
    proposer.handle_reply("k" + std::to_string(disk), message_to("n", std::move(accepted)).body, 0, more);
  }
  EXPECT_TRUE(outcomes.empty()) << "the change was chosen with one acceptance of three";
}

// Requirement: "One that was taken is acknowledged again or left without a clear answer, never refused."
TEST(Orders, applied_order_is_recognized_after_hundreds_of_others) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  std::vector<std::string> const all{"k1", "k2", "k3"};
  cluster.propose("p1", cluster.apply("first", 0, 1), all);
  for (std::uint64_t label = 2; label <= 500; ++label) {
    cluster.propose("p1", cluster.apply("order-" + std::to_string(label), label - 1, label), all);
    ASSERT_EQ(cluster.last_outcome("p1").type, Outcome::Type::chosen) << label;
  }
  cluster.propose("p2", cluster.apply("first", 0, 1), all);
  EXPECT_EQ(cluster.last_outcome("p2").type, Outcome::Type::chosen);
  EXPECT_EQ(cluster.last_outcome("p2").serial, 1u);
  EXPECT_EQ(cluster.last_outcome("p2").value.label, 500u);
  cluster.propose("p2", cluster.apply("never sent", 0, 2), all);
  EXPECT_EQ(cluster.last_outcome("p2").type, Outcome::Type::refused);
}

TEST(Orders, outcome_of_a_forgotten_order_is_unknown) {
  wire::ValueT value;
  std::uint64_t const count = max_remembered_orders + 10;
  for (std::uint64_t n = 1; n <= count; ++n) {
    value.serial = n;
    value.label = n * 3;
    remember_order(value, "order-" + std::to_string(n));
  }
  ASSERT_EQ(value.orders.size(), max_remembered_orders);
  EXPECT_EQ(serial_of_order(value, "order-10"), 0u);
  EXPECT_EQ(serial_of_order(value, "order-11"), 11u);
  EXPECT_EQ(serial_of_order(value, "order-" + std::to_string(count)), count);
  // Order 10 is based on label 27, order 11 on label 30.
  EXPECT_TRUE(order_may_be_forgotten(value, 27, 0, true));
  EXPECT_FALSE(order_may_be_forgotten(value, 30, 0, true));
  EXPECT_TRUE(order_may_be_forgotten(value, 0, 9, false));
  EXPECT_FALSE(order_may_be_forgotten(value, 0, 10, false));
}

// A late copy of the order may arrive after the order that it is based on, and is applicable then.
TEST(Orders, order_based_on_a_future_label_is_not_refused) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  std::vector<std::string> const all{"k1", "k2", "k3"};
  cluster.propose("p1", cluster.apply("on two", 2, 3), all);
  EXPECT_EQ(cluster.last_outcome("p1").type, Outcome::Type::unknown);
  EXPECT_EQ(cluster.last_outcome("p1").error.code, ErrorCode::change_unknown);
  cluster.propose("p2", cluster.apply("two", 0, 2), all);
  EXPECT_EQ(cluster.last_outcome("p2").type, Outcome::Type::chosen);
  cluster.propose("p2", cluster.apply("on two", 2, 3), all);
  EXPECT_EQ(cluster.last_outcome("p2").type, Outcome::Type::chosen);
}

TEST(Orders, remembered_orders_of_format_1_are_migrated) {
  wire::ValueT value;
  value.serial = 5;
  value.change = "e";
  value.label = 9;
  for (std::uint64_t n = 3; n <= 4; ++n) {
    std::unique_ptr<wire::RememberedChangeT> mark = std::make_unique<wire::RememberedChangeT>();
    mark->serial = n;
    mark->change = n == 3 ? "c" : "d";
    value.past.push_back(std::move(mark));
  }
  migrate_format_1_orders(value);
  EXPECT_EQ(serial_of_order(value, "c"), 3u);
  EXPECT_EQ(serial_of_order(value, "d"), 4u);
  EXPECT_EQ(serial_of_order(value, "e"), 5u);
  EXPECT_EQ(value.forgotten_serial, 2u);
  EXPECT_TRUE(order_may_be_forgotten(value, 8, 0, true));
}

TEST(RegisterPatches, patch_contains_only_the_difference) {
  wire::ValueT base;
  store_membership(members_of(4, {"k1", "k2", "k3"}), base);
  base.text = std::string(4000, 'a') + "old" + std::string(4000, 'b');
  for (std::uint64_t n = 1; n <= max_remembered_orders; ++n) {
    base.serial = n;
    base.label = n;
    remember_order(base, "order-" + std::to_string(n));
  }
  base.revision = 17;
  wire::ValueT next = base;
  next.text = std::string(4000, 'a') + "newer" + std::string(4000, 'b');
  next.revision = 18;
  next.serial = base.serial + 1;
  next.label = 7000;
  remember_order(next, "one more");
  std::unique_ptr<wire::ValuePatchT> const patch = make_value_patch(base, next);
  EXPECT_TRUE(patch->rest->text.empty());
  EXPECT_LT(patch->text->fresh.size(), 8u);
  EXPECT_EQ(patch->rest->orders.size(), 1u);
  EXPECT_TRUE(patch->rest->replicas.empty());
  std::optional<wire::ValueT> const made = apply_value_patch(base, *patch);
  ASSERT_TRUE(made);
  EXPECT_EQ(made->text, next.text);
  EXPECT_EQ(made->label, 7000u);
  EXPECT_EQ(made->orders.size(), next.orders.size());
  EXPECT_EQ(serial_of_order(*made, "one more"), next.serial);
  EXPECT_EQ(serial_of_order(*made, "order-1"), 0u);
  EXPECT_EQ(membership_of(*made).fingerprint(), membership_of(next).fingerprint());
  EXPECT_FALSE(apply_value_patch(next, *patch)) << "a patch was applied to another base";
}

// A replica that missed a value has no base for the patch. It requests the full value, and the change is chosen.
TEST(RegisterPatches, replica_without_the_base_is_sent_the_full_value) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  cluster.propose("p1", cluster.apply("A", 0, 1), {"k1", "k2"});
  cluster.propose("p1", cluster.apply("B", 1, 2), {"k2", "k3"});
  EXPECT_EQ(cluster.last_outcome("p1").type, Outcome::Type::chosen);
  EXPECT_EQ(cluster.acceptor("k3").durable_state().value->text, "B");
  EXPECT_EQ(cluster.acceptor("k3").durable_state().value->orders.size(), 2u);
}

namespace {
wire::ReadReplyT poll_reply(Acceptor const& acceptor, wire::ReadRequestT const& request) {
  return make_read_reply(acceptor.durable_state(), request);
}
}  // namespace

// A membership that one replica has accepted but that was never chosen must not be adopted.
TEST(Learner, only_the_membership_of_a_chosen_value_is_adopted) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}), {"k4"});
  cluster.propose("p1", cluster.read(), {"k1", "k2", "k3"});
  cluster.propose("p1", cluster.admit("k4", 2), {"k1", "k2", "k3"}, {"k1"});
  Learner learner;
  std::vector<OutgoingMessage> requests;
  learner.poll(0, {"k1"}, -1, requests);
  std::vector<OutgoingMessage> more;
  learner.handle_reply("k1", poll_reply(cluster.acceptor("k1"), *requests.front().body.AsReadRequest()), 0, more);
  EXPECT_TRUE(learner.membership().empty());
  EXPECT_EQ(learner.confirmed_at, -1);
}

// While changes continue, possibly no two replicas report the same ballot. A learner that holds the newest revision at
// a quorum is current as of the poll.
TEST(Learner, value_is_confirmed_during_continuous_changes) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  cluster.propose("p1", cluster.apply("A", 0, 1), {"k1", "k2", "k3"});
  Learner learner;
  std::vector<OutgoingMessage> requests;
  learner.poll(seconds(5), {"k1", "k2", "k3"}, -1, requests);
  wire::ReadRequestT const poll_request = *requests.front().body.AsReadRequest();
  std::vector<OutgoingMessage> more;
  learner.handle_reply("k1", poll_reply(cluster.acceptor("k1"), poll_request), seconds(5), more);
  cluster.propose("p1", cluster.apply("B", 1, 2), {"k1", "k2"});
  learner.handle_reply("k2", poll_reply(cluster.acceptor("k2"), poll_request), seconds(5), more);
  EXPECT_EQ(learner.confirmed_at, -1) << "the replies differ, and the learner does not have the newer revision";
  learner.adopt(cluster.last_outcome("p1").value, seconds(6));
  EXPECT_EQ(learner.confirmed_at, seconds(5));
}

// A large value over a slow link takes longer than a poll interval. Such a value was once discarded and fetched again.
TEST(Learner, slow_value_is_fetched_once_and_adopted_after_later_polls) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  cluster.propose("p1", cluster.apply("A", 0, 1), {"k1", "k2", "k3"});
  Learner learner;
  std::vector<std::string> const replicas{"k1", "k2", "k3"};
  std::vector<OutgoingMessage> fetches;
  for (Micros now = seconds(5); now < seconds(7); now += millis(500)) {
    std::vector<OutgoingMessage> requests;
    learner.poll(now, replicas, -1, requests);
    for (OutgoingMessage const& request : requests)
      learner.handle_reply(request.to, poll_reply(cluster.acceptor(request.to), *request.body.AsReadRequest()), now,
                           fetches);
  }
  ASSERT_EQ(fetches.size(), 1u) << "one fetch of the full value is in progress";
  wire::ReadRequestT const fetch = *fetches.front().body.AsReadRequest();
  ASSERT_TRUE(fetch.full);
  std::vector<OutgoingMessage> more;
  learner.handle_reply(fetches.front().to, poll_reply(cluster.acceptor(fetches.front().to), fetch), seconds(7), more);
  ASSERT_TRUE(learner.value);
  EXPECT_EQ(learner.value->text, "A");
  EXPECT_EQ(learner.confirmed_at, millis(6500)) << "time of the last poll whose quorum had nothing newer";
}

TEST(Learner, fetch_is_repeated_after_its_timeout) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  cluster.propose("p1", cluster.apply("A", 0, 1), {"k1", "k2", "k3"});
  Learner learner;
  std::vector<OutgoingMessage> fetches;
  for (Micros now = seconds(5); now < seconds(10); now += millis(500)) {
    std::vector<OutgoingMessage> requests;
    learner.poll(now, {"k1", "k2", "k3"}, -1, requests);
    for (OutgoingMessage const& request : requests)
      learner.handle_reply(request.to, poll_reply(cluster.acceptor(request.to), *request.body.AsReadRequest()), now,
                           fetches);
  }
  EXPECT_EQ(fetches.size(), 3u) << "one fetch per 2 s timeout";
}

// A member that was unreachable when it was admitted has no value but counts towards the quorum. A node that did not
// count it would see no quorum although one replied.
TEST(Learner, member_without_a_value_counts_towards_the_quorum) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}), {"k4"});
  cluster.propose("p1", cluster.admit("k4", 2), {"k1", "k2", "k3"});
  ASSERT_EQ(cluster.last_outcome("p1").type, Outcome::Type::chosen);
  ASSERT_FALSE(cluster.acceptor("k4").durable_state().formed);
  Learner learner;
  std::vector<OutgoingMessage> requests;
  std::vector<OutgoingMessage> more;
  learner.poll(seconds(5), {"k2", "k3", "k4"}, -1, requests);
  for (OutgoingMessage const& request : requests)
    learner.handle_reply(request.to, poll_reply(cluster.acceptor(request.to), *request.body.AsReadRequest()),
                         seconds(5), more);
  EXPECT_EQ(learner.last_quorum_poll_at(), seconds(5)) << "three of four members replied";
}

// All nodes have restarted and no two replicas report the same ballot: a proposer starts with the newest membership
// seen.
TEST(Membership, differing_replicas_are_read_without_a_known_membership) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  cluster.propose("p1", cluster.apply("A", 0, 1), {"k1", "k2", "k3"});
  cluster.propose("p1", cluster.apply("B", 1, 2), {"k1", "k2"});
  // k1 is lost. A node without state polls the other two replicas.
  Learner learner;
  std::vector<OutgoingMessage> requests;
  std::vector<OutgoingMessage> more;
  learner.poll(0, {"k2", "k3"}, -1, requests);
  for (OutgoingMessage const& request : requests)
    learner.handle_reply(request.to, poll_reply(cluster.acceptor(request.to), *request.body.AsReadRequest()), 0, more);
  EXPECT_TRUE(learner.membership().empty());
  Proposer fresh("p9", 99);
  fresh.suggest_membership(learner.newest_seen_membership());
  std::optional<Outcome> outcome;
  ASSERT_TRUE(fresh.submit(
      cluster.read(), [&outcome](Outcome const& end) { outcome = end; }, 0));
  for (Micros now = 0; now < seconds(2) && !outcome; now += millis(50)) {
    std::vector<OutgoingMessage> outgoing;
    fresh.tick(now, outgoing);
    while (!outgoing.empty()) {
      std::vector<OutgoingMessage> batch;
      batch.swap(outgoing);
      for (OutgoingMessage& item : batch) {
        if (item.to == "k1") continue;
        for (OutgoingMessage& reply : cluster.deliver(item.to, "p9", std::move(item.body)))
          fresh.handle_reply(item.to, reply.body, now, outgoing);
      }
    }
  }
  ASSERT_TRUE(outcome);
  EXPECT_EQ(outcome->value.label, 2u);
}

}  // namespace pipit
