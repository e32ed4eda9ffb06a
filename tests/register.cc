// The register under changes of members, repeated orders and patches: the product's proposers and acceptors with every
// message delivered by hand (docs/control.md).
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

// Replicas whose disks sync at once; messages go only where the test lets them.
class Cluster {
 public:
  explicit Cluster(Membership const& members, std::vector<std::string> const& blank = {}) : first(members) {
    for (wire::ReplicaT const& replica : members.replicas) add(replica.name, true);
    for (std::string const& name : blank) add(name, false);
  }

  Proposer& proposer(std::string const& name) {
    if (!proposers.count(name)) {
      proposers.emplace(name, std::make_unique<Proposer>(name, 7 + proposers.size()));
      proposers.at(name)->adopt_membership(first);
    }
    return *proposers.at(name);
  }

  // Asks for a change and lets the proposer's messages reach these replicas only. 'accepted_by', when given, narrows
  // whom its accepts reach.
  void ask(std::string const& who, Change change, std::vector<std::string> const& progress,
           std::vector<std::string> const& accepted_by = {}) {
    Proposer& from = proposer(who);
    EXPECT_TRUE(from.submit(
        std::move(change), [this, who](Outcome const& out) { outcomes[who].push_back(out); }, now));
    run(who, progress, accepted_by.empty() ? progress : accepted_by);
  }

  void run(std::string const& who, std::vector<std::string> const& progress,
           std::vector<std::string> const& accepted_by) {
    for (int count = 0; count < 60 && proposer(who).pending_count() > 0; ++count) {
      turn(who, progress, accepted_by);
      now += millis(100);
    }
  }

  // One tick of a proposer, and all that follows from it at once.
  void turn(std::string const& who, std::vector<std::string> const& progress,
            std::vector<std::string> const& accepted_by) {
    Proposer& from = proposer(who);
    std::vector<OutgoingMessage> outgoing;
    from.tick(now, outgoing);
    while (!outgoing.empty()) {
      std::vector<OutgoingMessage> batch;
      batch.swap(outgoing);
      for (OutgoingMessage& item : batch) {
        bool const accept = item.body.AsAccept() != nullptr;
        std::vector<std::string> const& to = accept ? accepted_by : progress;
        if (std::find(to.begin(), to.end(), item.to) == to.end()) continue;
        for (OutgoingMessage& answer : deliver(item.to, who, std::move(item.body)))
          from.handle_reply(item.to, answer.body, now, outgoing);
      }
    }
  }

  std::vector<OutgoingMessage> deliver(std::string const& to, std::string const& from, wire::BodyUnion body) {
    std::vector<OutgoingMessage> answers;
    Acceptor& acceptor = *acceptors.at(to);
    acceptor.enqueue(from, std::move(body));
    if (acceptor.step(answers)) acceptor.on_synced(answers);
    return answers;
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

  Outcome const& last(std::string const& who) { return outcomes[who].back(); }
  Acceptor& acceptor(std::string const& name) { return *acceptors.at(name); }

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
      record.accepted = wire::Ballot(1, first.fingerprint());
      record.value = std::make_unique<wire::ValueT>();
      store_membership(first, *record.value);
    }
    acceptors.emplace(name, std::make_unique<Acceptor>(std::move(record)));
  }

  Membership const first;
  std::map<std::string, std::unique_ptr<Acceptor>> acceptors;
  std::map<std::string, std::unique_ptr<Proposer>> proposers;
};

std::size_t chosen_in(std::vector<Outcome> const& outcomes) {
  return static_cast<std::size_t>(std::count_if(
      outcomes.begin(), outcomes.end(), [](Outcome const& outcome) { return outcome.type == Outcome::Type::chosen; }));
}
}  // namespace

// Two next sets that were written to one replica each, and a proposer that saw one of them on either side: with a
// majority of the seen sets alone they would not meet, and both would confirm their change on the same label.
TEST(Members, two_sets_that_were_merely_seen_do_not_split_the_register) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3", "k4"}), {"k5", "k6"});
  cluster.ask("p1", cluster.admit("k5", 2), {"k1", "k2", "k3"}, {"k1"});
  cluster.ask("p2", cluster.admit("k6", 2), {"k2", "k3", "k4"}, {"k4"});
  cluster.ask("p3", cluster.apply("A", 0, 7), {"k1", "k2", "k3", "k5"}, {"k1", "k2", "k5"});
  cluster.ask("p4", cluster.apply("B", 0, 9), {"k2", "k3", "k4", "k6"}, {"k3", "k4", "k6"});
  EXPECT_LE(chosen_in(cluster.outcomes["p3"]) + chosen_in(cluster.outcomes["p4"]), 1u);
}

TEST(Members, a_joint_set_that_was_left_behind_is_completed_by_the_next_change) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}), {"k4"});
  cluster.ask("p1", cluster.admit("k4", 2), {"k1", "k2", "k3", "k4"}, {"k1"});
  cluster.ask("p2", cluster.apply("A", 0, 7), {"k1", "k2", "k3", "k4"});
  ASSERT_EQ(cluster.last("p2").type, Outcome::Type::chosen);
  Membership const members = membership_of(cluster.last("p2").value);
  EXPECT_EQ(members.replicas.size(), 4u);
  EXPECT_FALSE(members.is_joint());
  EXPECT_EQ(cluster.last("p2").value.label, 7u);
}

// A replica gives its place to another in one change: at no moment does one more loss end the majority.
TEST(Members, a_replacement_leaves_a_majority_after_one_more_loss) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}), {"k4"});
  cluster.ask("p1", cluster.apply("A", 0, 7), {"k1", "k2", "k3"}, {"k1", "k2"});  // k1, which leaves, is a newest copy
  Change change = cluster.admit("k4", 2);
  change.type = Change::Type::replace;
  change.replaced_replica = replica_named("k1", 1);
  cluster.ask("p1", change, {"k2", "k3", "k4"});
  ASSERT_EQ(cluster.last("p1").type, Outcome::Type::chosen);
  EXPECT_EQ(membership_of(cluster.last("p1").value).participant_names(), (std::vector<std::string>{"k2", "k3", "k4"}));
  // k2 is lost as well, the last of those that took the order. Whoever reads has heard of the new set from its peers.
  cluster.proposer("p2").adopt_membership(membership_of(cluster.last("p1").value));
  cluster.ask("p2", cluster.read(), {"k3", "k4"});
  ASSERT_FALSE(cluster.outcomes["p2"].empty());
  EXPECT_EQ(cluster.last("p2").value.label, 7u);
}

TEST(Members, a_set_that_nobody_can_complete_does_not_stop_the_one_before) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}), {"k4"});
  cluster.ask("p1", cluster.admit("k4", 2), {"k1", "k2", "k3"}, {"k3"});
  // k4 is gone, and k3 with the joint set: the majority that never heard of it goes on.
  cluster.ask("p2", cluster.apply("A", 0, 7), {"k1", "k2"});
  EXPECT_EQ(cluster.last("p2").type, Outcome::Type::chosen);
}

// A storm of changes at one proposer, while another one, which holds the duty, replaces a member. Its timers come round
// more rarely than the first one's changes, so that a ballot just above the last refusal is outbid every time.
TEST(Ballots, a_change_of_members_is_not_starved_by_a_storm_at_another_proposer) {
  Cluster cluster(members_of(1, {"k1", "k2", "k3"}), {"k4"});
  std::vector<std::string> const progress{"k1", "k2", "k4"};
  std::uint64_t label = 0;
  bool over = false;
  Change replace = cluster.admit("k4", 1);
  replace.type = Change::Type::replace;
  replace.replaced_replica = replica_named("k3", 3);
  ASSERT_TRUE(cluster.proposer("p2").submit(
      std::move(replace), [&over](Outcome const& out) { over = out.type == Outcome::Type::chosen; }, cluster.now));
  for (int turn = 0; turn < 12 && !over; ++turn) {
    for (int change = 0; change < 2; ++change, ++label)
      cluster.ask("p1", cluster.apply("text-" + std::to_string(label), label, label + 1), progress);
    cluster.turn("p2", progress, progress);
  }
  EXPECT_TRUE(over);
  EXPECT_EQ(cluster.proposer("p2").membership().epoch, 3u);
}

TEST(Ballots, a_proposer_that_restarts_uses_none_of_its_former_life) {
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

// Nodes used to seed their proposers with what XOR left of clock and name: the hash of the name, which the proposer
// took away again. All nodes drew one owner, and rivals stepped aside for equally long.
TEST(Ballots, two_nodes_never_draw_one_owner) {
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

// A replica's answer to a former incarnation of the same node, should the request numbers ever be the same.
TEST(Ballots, a_promise_of_another_ballot_does_not_count) {
  Proposer proposer("n", 1);
  proposer.adopt_membership(members_of(2, {"k1", "k2", "k3"}));
  Cluster const cluster(members_of(2, {"k1", "k2", "k3"}));
  ASSERT_TRUE(proposer.submit(
      cluster.apply("A", 0, 1), [](Outcome const&) {}, 0));
  std::vector<OutgoingMessage> outgoing;
  proposer.tick(0, outgoing);
  ASSERT_EQ(outgoing.size(), 3u);
  wire::PrepareT const asked = *outgoing.front().body.AsPrepare();
  outgoing.clear();
  wire::ValueT value;
  store_membership(members_of(2, {"k1", "k2", "k3"}), value);
  for (std::uint64_t disk = 1; disk <= 2; ++disk) {
    wire::PromiseT promise;
    promise.request_id = asked.request_id;
    promise.disk = disk;
    promise.ok = true;
    promise.promised = disk == 1 ? asked.ballot : wire::Ballot(asked.ballot.n() - 1, asked.ballot.who());
    promise.accepted = wire::Ballot(1, 1);
    promise.value = std::make_unique<wire::ValueT>(value);
    proposer.handle_reply("k" + std::to_string(disk), message_to("n", std::move(promise)).body, 0, outgoing);
  }
  EXPECT_TRUE(outgoing.empty()) << "round two was begun with one promise of three";
}

TEST(Ballots, an_acceptance_of_another_ballot_does_not_count) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  Proposer proposer("n", 1);
  proposer.adopt_membership(members_of(2, {"k1", "k2", "k3"}));
  std::vector<Outcome> outcomes;
  ASSERT_TRUE(proposer.submit(
      cluster.apply("A", 0, 1), [&outcomes](Outcome const& outcome) { outcomes.push_back(outcome); }, 0));
  std::vector<OutgoingMessage> asks;
  std::vector<OutgoingMessage> accepts;
  proposer.tick(0, asks);
  for (OutgoingMessage& ask : asks)
    for (OutgoingMessage& answer : cluster.deliver(ask.to, "n", std::move(ask.body)))
      proposer.handle_reply(ask.to, answer.body, 0, accepts);
  ASSERT_FALSE(accepts.empty());
  wire::AcceptT const asked = *accepts.front().body.AsAccept();
  for (std::uint64_t disk = 1; disk <= 2; ++disk) {
    wire::AcceptedT accepted;
    accepted.request_id = asked.request_id;
    accepted.disk = disk;
    accepted.ok = true;
    accepted.promised = disk == 1 ? asked.ballot : wire::Ballot(asked.ballot.n() - 1, asked.ballot.who());
    std::vector<OutgoingMessage> more;
    proposer.handle_reply("k" + std::to_string(disk), message_to("n", std::move(accepted)).body, 0, more);
  }
  EXPECT_TRUE(outcomes.empty()) << "confirmed with one acceptance of three";
}

// "One that was taken is acknowledged again or left without a clear answer, never refused."
TEST(Orders, one_that_was_taken_is_known_after_hundreds_of_others) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  std::vector<std::string> const all{"k1", "k2", "k3"};
  cluster.ask("p1", cluster.apply("first", 0, 1), all);
  for (std::uint64_t label = 2; label <= 500; ++label) {
    cluster.ask("p1", cluster.apply("order-" + std::to_string(label), label - 1, label), all);
    ASSERT_EQ(cluster.last("p1").type, Outcome::Type::chosen) << label;
  }
  cluster.ask("p2", cluster.apply("first", 0, 1), all);
  EXPECT_EQ(cluster.last("p2").type, Outcome::Type::chosen);
  EXPECT_EQ(cluster.last("p2").serial, 1u);
  EXPECT_EQ(cluster.last("p2").value.label, 500u);
  cluster.ask("p2", cluster.apply("never sent", 0, 2), all);
  EXPECT_EQ(cluster.last("p2").type, Outcome::Type::refused);
}

TEST(Orders, beyond_what_is_remembered_the_answer_is_unclear) {
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
  // Order 10 was based on label 27, order 11 on 30.
  EXPECT_TRUE(order_may_be_forgotten(value, 27, 0, true));
  EXPECT_FALSE(order_may_be_forgotten(value, 30, 0, true));
  EXPECT_TRUE(order_may_be_forgotten(value, 0, 9, false));
  EXPECT_FALSE(order_may_be_forgotten(value, 0, 10, false));
}

// A late copy of it may still arrive after the order that it builds on: then it fits.
TEST(Orders, one_that_builds_on_a_label_to_come_is_not_refused) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  std::vector<std::string> const all{"k1", "k2", "k3"};
  cluster.ask("p1", cluster.apply("on two", 2, 3), all);
  EXPECT_EQ(cluster.last("p1").type, Outcome::Type::unknown);
  EXPECT_EQ(cluster.last("p1").error.code, ErrorCode::change_unknown);
  cluster.ask("p2", cluster.apply("two", 0, 2), all);
  EXPECT_EQ(cluster.last("p2").type, Outcome::Type::chosen);
  cluster.ask("p2", cluster.apply("on two", 2, 3), all);
  EXPECT_EQ(cluster.last("p2").type, Outcome::Type::chosen);
}

TEST(Orders, what_a_record_of_the_first_format_remembers_is_kept) {
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

TEST(Patches, bring_the_same_value_and_only_what_differs) {
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
  EXPECT_FALSE(apply_value_patch(next, *patch)) << "another base";
}

// A replica that missed a value has no base for the patch: it asks for the whole one, and the change is chosen all the
// same.
TEST(Patches, a_replica_without_the_base_is_sent_the_whole_value) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  cluster.ask("p1", cluster.apply("A", 0, 1), {"k1", "k2"});
  cluster.ask("p1", cluster.apply("B", 1, 2), {"k2", "k3"});
  EXPECT_EQ(cluster.last("p1").type, Outcome::Type::chosen);
  EXPECT_EQ(cluster.acceptor("k3").durable_state().value->text, "B");
  EXPECT_EQ(cluster.acceptor("k3").durable_state().value->orders.size(), 2u);
}

namespace {
wire::ReadReplyT answer_of(Acceptor const& acceptor, wire::ReadRequestT const& ask) {
  return make_read_reply(acceptor.durable_state(), ask);
}
}  // namespace

// A set that one replica holds and that was never chosen is no reason to count a majority of it.
TEST(Learning, only_the_set_of_a_chosen_value_is_taken) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}), {"k4"});
  cluster.ask("p1", cluster.read(), {"k1", "k2", "k3"});
  cluster.ask("p1", cluster.admit("k4", 2), {"k1", "k2", "k3"}, {"k1"});
  Learner learner;
  std::vector<OutgoingMessage> asks;
  learner.poll(0, {"k1"}, -1, asks);
  std::vector<OutgoingMessage> more;
  learner.handle_reply("k1", answer_of(cluster.acceptor("k1"), *asks.front().body.AsReadRequest()), 0, more);
  EXPECT_TRUE(learner.membership().empty());
  EXPECT_EQ(learner.confirmed_at, -1);
}

// While changes go on no two replicas may show one ballot. Who holds as much as a quorum knew is as new as the poll.
TEST(Learning, a_storm_of_changes_does_not_keep_a_node_from_knowing_that_it_is_new) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  cluster.ask("p1", cluster.apply("A", 0, 1), {"k1", "k2", "k3"});
  Learner learner;
  std::vector<OutgoingMessage> asks;
  learner.poll(seconds(5), {"k1", "k2", "k3"}, -1, asks);
  wire::ReadRequestT const peek = *asks.front().body.AsReadRequest();
  std::vector<OutgoingMessage> more;
  learner.handle_reply("k1", answer_of(cluster.acceptor("k1"), peek), seconds(5), more);
  cluster.ask("p1", cluster.apply("B", 1, 2), {"k1", "k2"});
  learner.handle_reply("k2", answer_of(cluster.acceptor("k2"), peek), seconds(5), more);
  EXPECT_EQ(learner.confirmed_at, -1) << "two ballots, and the newer revision is not held here";
  learner.adopt(cluster.last("p1").value, seconds(6));
  EXPECT_EQ(learner.confirmed_at, seconds(5));
}

// A large value over a thin link takes longer than the span of a poll. It was thrown away then, and asked for again.
TEST(Learning, a_value_that_comes_after_further_polls_is_taken_and_asked_for_once) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  cluster.ask("p1", cluster.apply("A", 0, 1), {"k1", "k2", "k3"});
  Learner learner;
  std::vector<std::string> const replicas{"k1", "k2", "k3"};
  std::vector<OutgoingMessage> fetches;
  for (Micros now = seconds(5); now < seconds(7); now += millis(500)) {
    std::vector<OutgoingMessage> asks;
    learner.poll(now, replicas, -1, asks);
    for (OutgoingMessage const& ask : asks)
      learner.handle_reply(ask.to, answer_of(cluster.acceptor(ask.to), *ask.body.AsReadRequest()), now, fetches);
  }
  ASSERT_EQ(fetches.size(), 1u) << "one whole value is on its way";
  wire::ReadRequestT const fetch = *fetches.front().body.AsReadRequest();
  ASSERT_TRUE(fetch.full);
  std::vector<OutgoingMessage> more;
  learner.handle_reply(fetches.front().to, answer_of(cluster.acceptor(fetches.front().to), fetch), seconds(7), more);
  ASSERT_TRUE(learner.value);
  EXPECT_EQ(learner.value->text, "A");
  EXPECT_EQ(learner.confirmed_at, millis(6500)) << "as of the last poll whose quorum knew nothing newer";
}

TEST(Learning, a_value_that_does_not_come_is_asked_for_again) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  cluster.ask("p1", cluster.apply("A", 0, 1), {"k1", "k2", "k3"});
  Learner learner;
  std::vector<OutgoingMessage> fetches;
  for (Micros now = seconds(5); now < seconds(10); now += millis(500)) {
    std::vector<OutgoingMessage> asks;
    learner.poll(now, {"k1", "k2", "k3"}, -1, asks);
    for (OutgoingMessage const& ask : asks)
      learner.handle_reply(ask.to, answer_of(cluster.acceptor(ask.to), *ask.body.AsReadRequest()), now, fetches);
  }
  EXPECT_EQ(fetches.size(), 3u) << "after 2 s each";
}

// A member that was dark when it got its place holds nothing, and is a member all the same: with it the others are a
// quorum, and whoever does not see that gives up what it could do.
TEST(Learning, a_member_that_holds_nothing_yet_counts_for_what_a_quorum_knows) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}), {"k4"});
  cluster.ask("p1", cluster.admit("k4", 2), {"k1", "k2", "k3"});
  ASSERT_EQ(cluster.last("p1").type, Outcome::Type::chosen);
  ASSERT_FALSE(cluster.acceptor("k4").durable_state().formed);
  Learner learner;
  std::vector<OutgoingMessage> asks;
  std::vector<OutgoingMessage> more;
  learner.poll(seconds(5), {"k2", "k3", "k4"}, -1, asks);
  for (OutgoingMessage const& ask : asks)
    learner.handle_reply(ask.to, answer_of(cluster.acceptor(ask.to), *ask.body.AsReadRequest()), seconds(5), more);
  EXPECT_EQ(learner.last_quorum_poll_at(), seconds(5)) << "three of four members answered";
}

// All lost their memory, and no two replicas show one ballot: a proposer begins with the newest set that was seen.
TEST(Members, copies_that_differ_after_a_full_stop_are_read_without_a_known_set) {
  Cluster cluster(members_of(2, {"k1", "k2", "k3"}));
  cluster.ask("p1", cluster.apply("A", 0, 1), {"k1", "k2", "k3"});
  cluster.ask("p1", cluster.apply("B", 1, 2), {"k1", "k2"});
  // k1 is lost. A node without any memory polls the other two.
  Learner learner;
  std::vector<OutgoingMessage> asks;
  std::vector<OutgoingMessage> more;
  learner.poll(0, {"k2", "k3"}, -1, asks);
  for (OutgoingMessage const& ask : asks)
    learner.handle_reply(ask.to, answer_of(cluster.acceptor(ask.to), *ask.body.AsReadRequest()), 0, more);
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
        for (OutgoingMessage& answer : cluster.deliver(item.to, "p9", std::move(item.body)))
          fresh.handle_reply(item.to, answer.body, now, outgoing);
      }
    }
  }
  ASSERT_TRUE(outcome);
  EXPECT_EQ(outcome->value.label, 2u);
}

}  // namespace pipit
