// Many nodes whose workers register themselves, as cores under virtual time with connections that lose nothing (§3.6,
// §12.7).
#include <gtest/gtest.h>

#include <deque>

#include "base/events.h"
#include "node/node.h"

namespace pipit {

namespace {
constexpr Micros step = millis(50);
constexpr Micros way = millis(1);

class Field {
 public:
  Field(std::size_t count, std::size_t zones, std::size_t replicas) {
    mute_log(true);
    for (std::size_t i = 0; i < count; ++i) {
      NodePlan plan;
      plan.name = "n" + std::to_string(100 + i);
      plan.zone = "z" + std::to_string(i % zones);
      plan.address = "10.0.0." + std::to_string(i + 1) + ":7000";
      for (std::size_t s = 0; s < 3; ++s) plan.seeds.push_back("10.0.0." + std::to_string(s + 1) + ":7000");
      plan.workers_self_register = true;
      plan.first_start = true;
      plan.is_replica = i < replicas;
      plan.random_seed = i + 1;
      plan.incarnation = 1000 + i;
      std::optional<wire::RecordT> recovered;
      if (plan.is_replica) {
        recovered.emplace();
        recovered->cluster = plan.cluster;
        recovered->name = plan.name;
        recovered->disk = 77 + i;
      }
      at[plan.address] = nodes.size();
      nodes.push_back(std::make_unique<Node>(plan, now, std::move(recovered)));
      replies.emplace_back();
    }
  }

  void run(Micros span) {
    for (Micros const stop = now + span; now < stop;) {
      Micros next = (now / step + 1) * step;
      while (!mail.empty() && mail.front().due <= next) {
        Mail const item = std::move(mail.front());
        mail.pop_front();
        now = std::max(now, item.due);
        if (!ends.count(item.connection) || item.to == mute || removed.count(item.to) > 0) continue;
        ++frames;
        bytes += item.bytes.size();
        NodeEffects out;
        if (!nodes[item.to]->receive_frame(item.connection, item.bytes, now, out)) shut(item.connection);
        act(item.to, out);
      }
      now = next;
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (removed.count(i) > 0) continue;
        NodeEffects out;
        nodes[i]->tick(now, out);
        act(i, out);
      }
    }
  }

  void act(std::size_t from, NodeEffects& out) {
    if (out.record_to_sync) saves.push_back(from);
    for (std::string const& address : out.mesh.dial_addresses) dial(from, address);
    for (ConnectionEffects::OutgoingFrame& send : out.mesh.outgoing_frames) {
      std::map<ConnectionId, std::pair<std::size_t, std::size_t>>::const_iterator const position =
          ends.find(send.connection);
      if (position == ends.end()) continue;
      std::size_t const to = position->second.first == from ? position->second.second : position->second.first;
      mail.push_back({now + way, to, send.connection, std::move(send.bytes)});
    }
    for (ConnectionId const id : out.mesh.closed_connections) shut(id, from);
    for (ChangeReply& item : out.replies) replies[from].push_back(std::move(item));
    while (!saves.empty()) {
      std::size_t const who = saves.back();
      saves.pop_back();
      NodeEffects more;
      nodes[who]->record_synced(now, more);
      act(who, more);
    }
  }

  void heartbeat(std::size_t node, Heartbeat const& word) {
    NodeEffects out;
    nodes[node]->handle_heartbeat(word, now, out);
    act(node, out);
  }

  // The process of a node ends, and its address refuses.
  void remove(std::size_t node) {
    removed.insert(node);
    std::vector<ConnectionId> open;
    for (std::pair<ConnectionId const, std::pair<std::size_t, std::size_t>> const& item : ends)
      if (item.second.first == node || item.second.second == node) open.push_back(item.first);
    for (ConnectionId const id : open) shut(id, node);
  }

  // A node without a disk that was removed comes back at its address.
  void restart(std::size_t node) {
    NodePlan plan = nodes[node]->plan;
    plan.first_start = false;
    plan.incarnation += 1000;
    plan.random_seed += 1000;
    nodes[node] = std::make_unique<Node>(plan, now, std::nullopt);
    removed.erase(node);
  }

  Micros now = seconds(10);
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::vector<ChangeReply>> replies;
  // Puts an empty configuration in force.
  void configure(std::uint64_t label) {
    Change change;
    change.type = Change::Type::apply;
    change.text = R"({"format":1,"pools":[],"lanes":[]})";
    change.label = label;
    change.id = "configure-" + std::to_string(label);
    NodeEffects out;
    nodes[0]->submit_change(label, change, now, out);
    act(0, out);
  }

  std::uint64_t frames = 0;
  std::uint64_t bytes = 0;
  std::size_t mute = SIZE_MAX;  // a node that hears nothing

 private:
  struct Mail {
    Micros due;
    std::size_t to;
    ConnectionId connection;
    std::string bytes;
  };
  void dial(std::size_t from, std::string const& address) {
    std::map<std::string, std::size_t>::const_iterator const to = at.find(address);
    NodeEffects out;
    if (to == at.end() || removed.count(to->second) > 0) {
      nodes[from]->dial_failed(address, true, now, out);
      return act(from, out);
    }
    ConnectionId const id = ++connections;
    ends[id] = {from, to->second};
    nodes[from]->connection_opened(id, true, address, now, out);
    act(from, out);
    NodeEffects other;
    nodes[to->second]->connection_opened(id, false, "", now, other);
    act(to->second, other);
  }
  void shut(ConnectionId id, std::size_t but = SIZE_MAX) {
    std::map<ConnectionId, std::pair<std::size_t, std::size_t>>::const_iterator const position = ends.find(id);
    if (position == ends.end()) return;
    std::pair<std::size_t, std::size_t> const both = position->second;
    ends.erase(position);
    for (std::size_t const who : {both.first, both.second}) {
      if (who == but) continue;
      NodeEffects out;
      nodes[who]->connection_closed(id, now, out);
      act(who, out);
    }
  }

  std::set<std::size_t> removed;
  std::map<std::string, std::size_t> at;
  std::map<ConnectionId, std::pair<std::size_t, std::size_t>> ends;
  std::deque<Mail> mail;
  std::vector<std::size_t> saves;
  ConnectionId connections = 0;
};

Heartbeat word_of(std::string const& id, std::uint64_t order) {
  Heartbeat out;
  out.id = id;
  out.address = "10.9.0.1:80";
  out.zone = "z0";
  out.pool = "p";
  out.slots = 8;
  out.order = order;
  return out;
}
}  // namespace

// Those that met while both knew no worker at all were never told of one: a marked worker got requests for good.
TEST(Wide, every_node_hears_of_workers_and_of_their_leaving) {
  Field field(40, 4, 8);
  field.run(seconds(8));
  for (std::uint64_t w = 0; w < 12; ++w) field.heartbeat((w * 7) % 40, word_of("w" + std::to_string(w), 1));
  field.run(millis(300));
  for (std::unique_ptr<Node> const& node : field.nodes) ASSERT_EQ(node->registry.all.size(), 12u) << node->plan.name;
  for (std::uint64_t w = 0; w < 12; ++w) {
    Heartbeat word = word_of("w" + std::to_string(w), 2);
    word.leaving = true;
    field.heartbeat((w * 7 + 3) % 40, word);
  }
  field.run(millis(300));
  for (std::unique_ptr<Node> const& node : field.nodes)
    for (std::pair<std::string const, Instance> const& item : node->registry.all)
      EXPECT_EQ(item.second.state, WorkerState::draining) << item.first << " at " << node->plan.name;
}

// Full tables on every ping and everything told to everybody ended 72 small machines. What a calm second costs a node
// may grow with the fleet no faster than its connections are looked after.
TEST(Wide, a_calm_second_costs_a_node_few_frames) {
  double small = 0;
  for (std::size_t const count : {std::size_t(30), std::size_t(60)}) {
    Field field(count, 4, 8);
    field.run(seconds(5));
    // Without a configuration no node is ready, and what is not ready polls twice a second.
    field.configure(1);
    field.run(seconds(5));
    field.frames = field.bytes = 0;
    field.run(seconds(10));
    double const each = static_cast<double>(field.frames) / static_cast<double>(count) / 10;
    double const load = static_cast<double>(field.bytes) / static_cast<double>(count) / 10;
    EXPECT_LT(each, 40) << count;
    EXPECT_LT(load, 8192) << count;
    if (small > 0) {
      EXPECT_LT(each, small * 1.6) << "twice the nodes";
    }
    small = each;
  }
}

// While workers come and go all the time, whole tables and entry tables must not be sent at every ping.
TEST(Wide, repairs_stay_rare_while_changes_are_on_their_way) {
  Field field(40, 4, 8);
  field.run(seconds(10));
  for (std::uint64_t w = 0; w < 100; ++w) field.heartbeat(w % 40, word_of("w" + std::to_string(w), 1));
  field.run(seconds(3));
  field.bytes = 0;
  for (std::uint64_t w = 100; w < 160; ++w) {
    field.heartbeat(w % 40, word_of("w" + std::to_string(w), 1));
    field.run(millis(100));
  }
  double const load = static_cast<double>(field.bytes) / 40 / 6;
  EXPECT_LT(load, 40000) << "bytes a second and node";
}

TEST(Wide, work_is_heard_by_all_and_counted_once) {
  Field field(40, 4, 8);
  field.run(seconds(8));
  field.heartbeat(0, word_of("w", 1));
  field.run(millis(300));
  for (std::size_t const who : {std::size_t(0), std::size_t(5), std::size_t(39)}) {  // a hub and two others
    field.nodes[who]->exchange.report_work("w", seconds(100));
    field.nodes[who]->registry.find("w")->work(seconds(100), field.now);
  }
  field.run(millis(400));
  for (std::unique_ptr<Node> const& node : field.nodes) {
    Micros const busy = node->registry.find("w")->busy(field.now);
    EXPECT_GT(busy, seconds(299)) << node->plan.name;
    EXPECT_LE(busy, seconds(300)) << node->plan.name;
  }
}

TEST(Wide, the_first_replicas_are_the_seeds_and_a_change_reaches_all) {
  Field field(40, 4, 8);
  field.run(seconds(20));
  EXPECT_EQ(field.nodes[0]->learner.membership().replicas.size(), 7u) << "an odd number of all that keep";
  Change change;
  change.type = Change::Type::apply;
  change.text = R"({"format":1,"pools":[{"name":"p","model":"m"}],"lanes":[],)"
                R"("routes":[{"name":"r","host":"h","prefix":"/","shares":[{"pool":"p"}]}]})";
  change.expected = 0;
  change.label = 7;
  NodeEffects out;
  field.nodes[31]->submit_change(1, change, field.now, out);
  field.act(31, out);
  field.run(millis(900));
  ASSERT_EQ(field.replies[31].size(), 1u);
  EXPECT_EQ(field.replies[31][0].outcome.type, Outcome::Type::chosen);
  for (std::unique_ptr<Node> const& node : field.nodes) {
    ASSERT_TRUE(node->learner.value) << node->plan.name;
    EXPECT_EQ(node->learner.value->label, 7u) << node->plan.name;
    EXPECT_EQ(node->dispatcher.description()->routes.size(), 1u) << node->plan.name;
  }
}

// Rival proposers at small nodes outbid each other for seconds; one replica proposes for all, and without its answer
// the node does so itself.
TEST(Wide, rivals_are_answered_at_once_and_a_silent_replica_is_not_waited_for) {
  Field field(40, 4, 8);
  field.run(seconds(20));
  std::size_t chosen = 0;
  for (std::uint64_t n = 0; n < 8; ++n) {
    Change change;
    change.type = Change::Type::apply;
    change.text = R"({"format":1,"pools":[],"lanes":[]})";
    change.label = 10 + n;
    change.id = "change-" + std::to_string(n);
    NodeEffects out;
    field.nodes[9 + n]->submit_change(1, change, field.now, out);
    field.act(9 + n, out);
  }
  field.run(millis(900));
  for (std::uint64_t n = 0; n < 8; ++n) {
    ASSERT_EQ(field.replies[9 + n].size(), 1u) << n;
    if (field.replies[9 + n][0].outcome.type == Outcome::Type::chosen) ++chosen;
  }
  EXPECT_EQ(chosen, 1u) << "all were made on the same label";
  field.mute = 0;  // the replica that proposes says nothing more, though its connections stand
  Change change;
  change.type = Change::Type::apply;
  change.text = R"({"format":1,"pools":[],"lanes":[]})";
  change.expected = field.nodes[20]->learner.value->label;
  change.label = 100;
  change.id = "later";
  NodeEffects out;
  field.nodes[20]->submit_change(2, change, field.now, out);
  field.act(20, out);
  field.run(millis(1800));
  ASSERT_EQ(field.replies[20].size(), 1u);
  EXPECT_EQ(field.replies[20][0].outcome.type, Outcome::Type::chosen);
}

// An order is handed over as a patch of what its node holds. Where the replica holds something else it asks for the
// whole.
TEST(Wide, an_order_whose_patch_has_another_base_is_sent_again_whole) {
  Field field(30, 3, 3);
  field.run(seconds(12));
  field.configure(1);
  field.run(seconds(3));
  Node& node = *field.nodes[20];
  ASSERT_TRUE(node.learner.value);
  node.learner.value->text += " ";
  Change change;
  change.type = Change::Type::apply;
  change.text = R"({"format":1,"pools":[{"name":"p","model":"m"}],"lanes":[]})";
  change.expected = 1;
  change.label = 2;
  change.id = "order";
  NodeEffects out;
  node.submit_change(7, change, field.now, out);
  field.act(20, out);
  field.run(millis(500));  // before the node would propose it by itself
  ASSERT_EQ(field.replies[20].size(), 1u);
  EXPECT_EQ(field.replies[20][0].outcome.type, Outcome::Type::chosen);
  for (std::unique_ptr<Node> const& item : field.nodes) {
    ASSERT_TRUE(item->learner.value) << item->plan.name;
    EXPECT_EQ(item->learner.value->text, change.text) << item->plan.name;
  }
}

// Its workers would be gone for all others, who hear of them from their owners alone.
TEST(Heartbeats, a_node_that_hears_nobody_takes_no_worker_over) {
  Field field(6, 3, 3);
  field.run(seconds(5));
  field.configure(1);
  field.run(seconds(3));
  field.heartbeat(1, word_of("w", 1));
  field.run(millis(300));
  ASSERT_EQ(field.nodes[5]->registry.find("w")->owner, field.nodes[1]->plan.name);
  field.mute = 5;
  for (std::uint64_t order = 2; order < 6; ++order) {
    field.run(seconds(1));
    field.heartbeat(1, word_of("w", order));
  }
  NodeEffects out;
  EXPECT_FALSE(field.nodes[5]->handle_heartbeat(word_of("w", 6), field.now, out))
      << "the worker is to call the next node";
  EXPECT_EQ(field.nodes[5]->registry.find("w")->owner, field.nodes[1]->plan.name);
  EXPECT_EQ(field.nodes[5]->registry.find("w")->state, WorkerState::serving) << "its own callers are served on";
  NodeEffects other;
  EXPECT_TRUE(field.nodes[2]->handle_heartbeat(word_of("w", 7), field.now, other));
}

// A worker and the node that heard it are lost together: nobody else counts its heartbeats, and requests went there for
// good.
TEST(Heartbeats, a_worker_whose_owner_is_gone_for_good_falls_silent_for_all) {
  for (std::size_t const count : {6u, 30u}) {
    Field field(count, 3, 3);
    field.run(seconds(6));
    field.configure(1);
    field.run(seconds(3));
    field.heartbeat(4, word_of("lost", 1));
    field.heartbeat(4, word_of("here", 1));
    field.run(millis(300));
    field.remove(4);
    for (std::uint64_t order = 2; order < 26; ++order) {
      field.run(seconds(1));
      field.heartbeat(1, word_of("here", order));
    }
    for (std::size_t n = 0; n < count; ++n) {
      if (n == 4) continue;
      EXPECT_EQ(field.nodes[n]->registry.find("lost")->state, WorkerState::ended) << n << " of " << count;
      EXPECT_EQ(field.nodes[n]->registry.find("here")->state, WorkerState::serving) << n << " of " << count;
    }
  }
}

// A wait that is meant for fleets whose nodes share the bounds of cold workers kept every restart out for two seconds
// more.
TEST(Readiness, comes_back_within_a_second_of_a_restart) {
  Field field(9, 3, 3);
  field.run(seconds(6));
  field.heartbeat(4, word_of("w", 1));
  field.configure(1);
  field.run(seconds(3));
  field.remove(8);
  field.run(seconds(2));
  field.restart(8);
  field.run(seconds(1));
  EXPECT_TRUE(field.nodes[8]->is_ready());
}

}  // namespace pipit
