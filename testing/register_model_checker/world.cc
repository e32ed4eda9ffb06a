#include "testing/register_model_checker/world.h"

#include <algorithm>
#include <map>

#include "base/guards.h"

namespace pipit::register_checker {

namespace {

// The model checker chooses when a round ends, so that the clock need not be a part of a state. These timeouts only
// have to be reached by the steps `retry` and `give up`.
constexpr Micros round_time = seconds(1);
constexpr Micros max_backoff = seconds(1);
constexpr Micros change_time = seconds(1000000);
constexpr std::uint64_t first_seed = 7;  // of a node's first incarnation
// Turns within which a fresh node must be able to read after the end of all faults.
constexpr int max_recovery_turns = 60;

// Receives the outcomes of the proposer that takes a step. All copies of a proposer share one callback for each order,
// so that the callback cannot belong to one world.
thread_local std::vector<std::pair<std::size_t, Outcome>>* current_outcomes = nullptr;

char const* const step_names[] = {"ask",     "deliver", "repeat", "sync", "retry",
                                  "give up", "restart", "crash",  "wipe", "poll"};
char const* const progress_names[] = {"not submitted", "submitted", "chosen", "unchanged", "refused", "unknown"};

std::string lowercase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string body_type_name(wire::BodyUnion const& body) { return lowercase(wire::EnumNameBody(body.type)); }

wire::ReplicaT replica_of(std::string const& name) {
  wire::ReplicaT out;
  out.name = name;
  if (!name.empty()) out.disk = static_cast<std::uint64_t>(replica_index(name) + 1) * disks_per_replica;
  return out;
}

Change make_change(Order const& order) {
  Change out;
  out.type = order.type;
  out.id = order.id;
  out.expected = order.expected;
  if (order.type == Change::Type::apply) out.text = "text of " + order.id;
  if (order.type == Change::Type::empty || order.type == Change::Type::refill) out.text = "zone";
  out.replica = replica_of(order.replica);
  out.replaced_replica = replica_of(order.replaced_replica);
  return out;
}

}  // namespace

World::World(Scenario const& scenario, Symmetry const& symmetry)
    : scenario_(std::make_shared<Scenario const>(scenario)), symmetry_(&symmetry), remaining_bounds_(scenario.bounds) {
  wire::ValueT const first = initial_value(scenario_->members);
  replicas_.resize(scenario_->replicas);
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    replicas_[i].disk_id = (i + 1) * disks_per_replica;
    wire::RecordT record;
    record.name = replica_name(i);
    record.disk = replicas_[i].disk_id;
    if (std::find(scenario_->members.begin(), scenario_->members.end(), i) != scenario_->members.end()) {
      record.formed = true;
      record.promised = wire::Ballot(1, 0);
      record.accepted = wire::Ballot(1, 0);
      record.value = std::make_unique<wire::ValueT>(first);
    }
    start_replica(i, std::move(record));
  }
  nodes_.resize(scenario_->nodes.size());
  for (std::size_t i = 0; i < nodes_.size(); ++i) start_node(i);
  order_states_.resize(scenario_->orders.size());
  report_value(first, "the initial state");
}

void World::lift_bounds(bool lifted) {
  if (lifted == bounds_lifted_) return;
  bounds_lifted_ = lifted;
  std::swap(remaining_bounds_, saved_bounds_);
  if (lifted) remaining_bounds_ = Bounds{99, 99, 99, 99, 99, 99, 99, 0};
}

// --- steps

std::vector<Step> World::steps() const {
  std::vector<Step> out;
  for (std::size_t i = 0; i < order_states_.size(); ++i) {
    if (order_states_[i].progress != OrderState::Progress::not_submitted) continue;
    int const after = scenario_->orders[i].after;
    if (after >= 0 && order_states_[static_cast<std::size_t>(after)].progress <= OrderState::Progress::submitted)
      continue;
    out.push_back({Step::Type::submit, i});
  }
  std::vector<std::uint64_t> seen_messages;
  for (std::size_t i = 0; i < messages_.size(); ++i) {
    std::uint64_t const hash = messages_[i]->fingerprint.hash(0);
    // Two equal messages in transit lead to the same state.
    if (std::find(seen_messages.begin(), seen_messages.end(), hash) != seen_messages.end()) continue;
    seen_messages.push_back(hash);
    out.push_back({Step::Type::deliver, i});
    if (remaining_bounds_.repeats > 0) out.push_back({Step::Type::repeat, i});
  }
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    if (replicas_[i].syncing_record) out.push_back({Step::Type::sync, i});
    if (remaining_bounds_.crashes > 0 && replicas_[i].syncing_record) out.push_back({Step::Type::crash, i});
    if (remaining_bounds_.wipes > 0) out.push_back({Step::Type::wipe, i});
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    bool const timer = has_pending_timer(*nodes_[i].proposer);
    if (timer && remaining_bounds_.retries > 0) out.push_back({Step::Type::retry, i});
    if (timer && remaining_bounds_.give_ups > 0) out.push_back({Step::Type::give_up, i});
    if (remaining_bounds_.restarts > 0) out.push_back({Step::Type::restart, i});
    if (remaining_bounds_.polls > 0) out.push_back({Step::Type::poll, i});
  }
  return out;
}

std::string World::step_text(Step const& step) const {
  std::string out = step_names[static_cast<std::size_t>(step.type)];
  switch (step.type) {
    case Step::Type::submit:
      // The index identifies the order, since the same id may be sent twice.
      return out + " " + std::to_string(step.index + 1) + " " + scenario_->orders[step.index].id + " at " +
             scenario_->orders[step.index].node;
    case Step::Type::deliver:
    case Step::Type::repeat: {
      Message const& message = *messages_[step.index];
      std::size_t nth = 1;
      for (std::size_t i = 0; i < step.index; ++i)
        if (messages_[i]->from == message.from && messages_[i]->to == message.to &&
            messages_[i]->body.type == message.body.type &&
            ballot_number_of(messages_[i]->body) == ballot_number_of(message.body))
          ++nth;
      out += " " + body_type_name(message.body) + " " + message.from + ">" + message.to;
      std::uint64_t const round = ballot_number_of(message.body);
      if (round > 0) out += " in round " + std::to_string(round);
      return nth > 1 ? out + " #" + std::to_string(nth) : out;
    }
    case Step::Type::sync:
    case Step::Type::crash:
    case Step::Type::wipe:
      return out + " " + replica_name(step.index);
    default:
      return out + " " + scenario_->nodes[step.index];
  }
}

bool World::take(std::string const& text) {
  for (Step const& step : steps())
    if (step_text(step) == text) {
      take(step);
      return true;
    }
  return false;
}

void World::take(Step const& step) {
  effect_.clear();
  switch (step.type) {
    case Step::Type::submit:
      submit(step.index);
      break;
    case Step::Type::deliver:
      deliver(step.index, false);
      break;
    case Step::Type::repeat:
      --remaining_bounds_.repeats;
      deliver(step.index, true);
      break;
    case Step::Type::sync:
      sync(step.index);
      break;
    case Step::Type::retry:
      --remaining_bounds_.retries;
      expire_timer(step.index, round_time + max_backoff);
      break;
    case Step::Type::give_up:
      --remaining_bounds_.give_ups;
      expire_timer(step.index, change_time);
      break;
    case Step::Type::restart:
      --remaining_bounds_.restarts;
      restart(step.index);
      break;
    case Step::Type::crash:
      --remaining_bounds_.crashes;
      crash(step.index);
      break;
    case Step::Type::wipe:
      --remaining_bounds_.wipes;
      wipe(step.index);
      break;
    case Step::Type::poll:
      --remaining_bounds_.polls;
      poll(step.index);
      break;
  }
  drop_stale_messages();
}

// --- replicas

void World::start_replica(std::size_t index, wire::RecordT record) {
  Replica& replica = replicas_[index];
  replica.syncing_record.reset();
  replica.synced_record = std::make_shared<wire::RecordT const>(record);
  replica.acceptor = std::make_shared<Acceptor const>(std::move(record));
  replica.fingerprint = fingerprint_of(*replica.acceptor, *symmetry_);
}

void World::update_acceptor(std::size_t index, Acceptor next, std::vector<OutgoingMessage>& out,
                            std::optional<wire::RecordT> record) {
  Replica& replica = replicas_[index];
  while (record) {
    replica.syncing_record = std::make_shared<wire::RecordT const>(std::move(*record));
    record.reset();
    if (scenario_->slow_disks) break;
    replica.synced_record = std::move(replica.syncing_record);
    replica.syncing_record.reset();
    next.on_synced(out);
    record = next.step(out);
  }
  replica.acceptor = std::make_shared<Acceptor const>(std::move(next));
  replica.fingerprint = fingerprint_of(*replica.acceptor, *symmetry_);
  send(replica_name(index), out);
}

void World::deliver_to_replica(std::size_t index, Message const& message) {
  std::vector<OutgoingMessage> out;
  if (wire::ReadRequestT const* const request = message.body.AsReadRequest()) {
    out.push_back(message_to(message.from, make_read_reply(replicas_[index].acceptor->durable_state(), *request)));
    return send(replica_name(index), out);
  }
  Acceptor next = *replicas_[index].acceptor;
  next.enqueue(message.from, message.body);
  std::optional<wire::RecordT> record = next.step(out);
  update_acceptor(index, std::move(next), out, std::move(record));
}

void World::sync(std::size_t index) {
  Replica& replica = replicas_[index];
  replica.synced_record = std::move(replica.syncing_record);
  replica.syncing_record.reset();
  Acceptor next = *replica.acceptor;
  std::vector<OutgoingMessage> out;
  next.on_synced(out);
  std::optional<wire::RecordT> record = next.step(out);
  update_acceptor(index, std::move(next), out, std::move(record));
}

void World::crash(std::size_t index) {
  add_effect("starts from " + (replicas_[index].synced_record->value ? describe(*replicas_[index].synced_record->value)
                                                                     : "a blank disk"));
  start_replica(index, *replicas_[index].synced_record);
}

void World::wipe(std::size_t index) {
  wire::RecordT blank;
  blank.name = replica_name(index);
  blank.disk = ++replicas_[index].disk_id;
  start_replica(index, std::move(blank));
}

std::vector<std::uint64_t> World::disk_ids() const {
  std::vector<std::uint64_t> out;
  for (Replica const& replica : replicas_) out.push_back(replica.disk_id);
  return out;
}

// --- nodes

int World::node_index(std::string const& name) const {
  for (std::size_t i = 0; i < scenario_->nodes.size(); ++i)
    if (scenario_->nodes[i] == name) return static_cast<int>(i);
  return -1;
}

void World::start_node(std::size_t index) {
  Node& node = nodes_[index];
  ProposerOptions options;
  options.phase_timeout = round_time;
  options.change_timeout = change_time;
  std::uint64_t const seed = first_seed + (scenario_->same_chance ? 0 : node.incarnation);
  Proposer proposer(scenario_->nodes[index], seed, options);
  Learner learner;
  // Each incarnation starts with the initial membership and learns newer ones from messages.
  adopt_initial_value(proposer, learner, initial_value(scenario_->members));
  node.proposer = std::make_shared<Proposer const>(proposer);
  node.learner = std::make_shared<Learner const>(learner);
  node.fingerprint = fingerprint_of(proposer, *symmetry_);
  node.fingerprint.add_part(fingerprint_of(learner, *symmetry_));
}

void World::submit(std::size_t index) {
  Order const& order = scenario_->orders[index];
  std::size_t const node = static_cast<std::size_t>(node_index(order.node));
  order_states_[index].progress = OrderState::Progress::submitted;
  order_states_[index].min_revision = newest_reported_revision();
  Proposer next = *nodes_[node].proposer;
  std::vector<std::pair<std::size_t, Outcome>> collected;
  current_outcomes = &collected;
  next.submit(
      make_change(order),
      [index](Outcome const& outcome) {
        current_outcomes->push_back({index, outcome});
      },
      nodes_[node].now);
  std::vector<OutgoingMessage> out;
  next.tick(nodes_[node].now, out);
  std::vector<OrderOutcome> order_outcomes;
  for (std::pair<std::size_t, Outcome>& item : collected)
    order_outcomes.push_back({item.first, std::move(item.second)});
  update_node(node, next, *nodes_[node].learner, out, order_outcomes);
}

void World::deliver_to_node(std::size_t index, Message const& message) {
  Node& node = nodes_[index];
  Proposer proposer = *node.proposer;
  Learner learner = *node.learner;
  std::vector<std::pair<std::size_t, Outcome>> collected;
  current_outcomes = &collected;
  std::vector<OutgoingMessage> out;
  if (wire::ReadReplyT const* const reply = message.body.AsReadReply()) {
    if (std::optional<wire::ValueT> const fresh = learner.handle_reply(message.from, *reply, node.now, out))
      report_value(*fresh, "the learner of " + scenario_->nodes[index]);
    adopt_learned_membership(proposer, learner);
  } else if (wire::ChosenT const* const update = message.body.AsChosen()) {
    if (update->value) learner.adopt(*update->value, node.now);
    adopt_learned_membership(proposer, learner);
  } else {
    proposer.handle_reply(message.from, message.body, node.now, out);
  }
  std::vector<OrderOutcome> order_outcomes;
  for (std::pair<std::size_t, Outcome>& item : collected)
    order_outcomes.push_back({item.first, std::move(item.second)});
  update_node(index, proposer, learner, out, order_outcomes);
}

void World::update_node(std::size_t index, Proposer const& changed_proposer, Learner const& changed_learner,
                        std::vector<OutgoingMessage>& out, std::vector<OrderOutcome>& order_outcomes) {
  Node& node = nodes_[index];
  Proposer proposer = changed_proposer;
  Learner learner = changed_learner;
  for (OrderOutcome const& order_outcome : order_outcomes) handle_outcome(index, order_outcome, learner, out);
  if (!order_outcomes.empty()) {
    adopt_learned_membership(proposer, learner);
    // The proposer starts the next pending change at once.
    std::vector<std::pair<std::size_t, Outcome>> collected;
    current_outcomes = &collected;
    proposer.tick(node.now, out);
  }
  for (OutgoingMessage const& item : out)
    if (wire::AcceptT const* const sent = item.body.AsAccept()) check_ballot(sent->ballot, proposed_value(proposer));
  node.proposer = std::make_shared<Proposer const>(proposer);
  node.learner = std::make_shared<Learner const>(std::move(learner));
  node.fingerprint = fingerprint_of(*node.proposer, *symmetry_);
  node.fingerprint.add_part(fingerprint_of(*node.learner, *symmetry_));
  send(scenario_->nodes[index], out);
}

void World::expire_timer(std::size_t index, Micros elapsed) {
  Node& node = nodes_[index];
  Proposer next = *node.proposer;
  std::vector<std::pair<std::size_t, Outcome>> collected;
  current_outcomes = &collected;
  std::vector<OutgoingMessage> out;
  // The first tick ends the round or, if the proposer is in the pause after a round, the pause. If nothing was sent,
  // the second tick ends the pause that the first one began.
  node.now += elapsed;
  next.tick(node.now, out);
  if (collected.empty() && out.empty()) {
    node.now += max_backoff;
    next.tick(node.now, out);
  }
  std::vector<OrderOutcome> order_outcomes;
  for (std::pair<std::size_t, Outcome>& item : collected)
    order_outcomes.push_back({item.first, std::move(item.second)});
  update_node(index, next, *node.learner, out, order_outcomes);
}

void World::restart(std::size_t index) {
  for (std::size_t i = 0; i < order_states_.size(); ++i)
    if (order_states_[i].progress == OrderState::Progress::submitted &&
        scenario_->orders[i].node == scenario_->nodes[index])
      order_states_[i].progress = OrderState::Progress::unknown;
  ++nodes_[index].incarnation;
  start_node(index);
}

void World::poll(std::size_t index) {
  Node& node = nodes_[index];
  Learner next = *node.learner;
  std::vector<std::string> names;
  for (std::size_t i = 0; i < replicas_.size(); ++i) names.push_back(replica_name(i));
  std::vector<OutgoingMessage> out;
  next.poll(node.now, names, -1, out);
  std::vector<OrderOutcome> none;
  update_node(index, *node.proposer, next, out, none);
}

// --- messages

void World::send(std::string const& from, std::vector<OutgoingMessage>& out) {
  std::map<std::string, std::string> sent;
  for (OutgoingMessage& item : out) {
    std::shared_ptr<Message> message = std::make_shared<Message>();
    message->from = from;
    message->to = std::move(item.to);
    message->body = std::move(item.body);
    message->fingerprint = Fingerprint(*symmetry_);
    message->fingerprint.add_name(*symmetry_, message->from);
    message->fingerprint.add_name(*symmetry_, message->to);
    message->fingerprint.add_part(fingerprint_of(message->body, *symmetry_));
    if (narration_enabled_)
      sent["sends " + body_type_name(message->body) + " (" + describe(message->body) + ") to"] += " " + message->to;
    messages_.push_back(std::move(message));
  }
  for (std::pair<std::string const, std::string> const& item : sent) add_effect(item.first + item.second);
  out.clear();
}

void World::deliver(std::size_t index, bool keep) {
  std::shared_ptr<Message const> const message = messages_[index];
  if (!keep) messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
  if (int const replica = replica_index(message->to); replica >= 0)
    deliver_to_replica(static_cast<std::size_t>(replica), *message);
  else
    deliver_to_node(static_cast<std::size_t>(node_index(message->to)), *message);
}

// Removes messages that can no longer have an effect, which equals their loss and saves states.
void World::drop_stale_messages() {
  // With the same seed a late reply to one incarnation may be taken for a reply to the next one, so all are kept.
  bool const seeds_repeat = scenario_->same_chance;
  messages_.erase(std::remove_if(messages_.begin(), messages_.end(),
                                 [this, seeds_repeat](std::shared_ptr<Message const> const& item) {
                                   int const node = node_index(item->to);
                                   if (node < 0 || seeds_repeat) return false;
                                   Node const& to = nodes_[static_cast<std::size_t>(node)];
                                   return is_stale(*to.proposer, item->body) || is_stale(*to.learner, item->body);
                                 }),
                  messages_.end());
}

// --- reported values and invariants

void World::report_violation(std::string const& text) {
  if (violation_.empty()) violation_ = text;
}

void World::add_effect(std::string const& text) {
  if (!narration_enabled_) return;
  if (!effect_.empty()) effect_ += "; ";
  effect_ += text;
}

void World::handle_outcome(std::size_t index, OrderOutcome const& order_outcome, Learner& learner,
                           std::vector<OutgoingMessage>& out) {
  Outcome const& outcome = order_outcome.outcome;
  bool const holds = outcome.type == Outcome::Type::chosen || outcome.type == Outcome::Type::unchanged;
  check_outcome(order_outcome.order, outcome);
  if (holds || outcome.value.serial > 0) learner.adopt(outcome.value, nodes_[index].now);
  if (!holds || !scenario_->push_chosen) return;
  for (std::string const& name : scenario_->nodes) {
    if (name == scenario_->nodes[index]) continue;
    wire::ChosenT update;
    update.value = std::make_unique<wire::ValueT>(outcome.value);
    out.push_back(message_to(name, std::move(update)));
  }
}

void World::check_outcome(std::size_t index, Outcome const& outcome) {
  OrderState& state = order_states_[index];
  Order const& order = scenario_->orders[index];
  std::string const subject = "order " + std::to_string(index + 1) + " (" + order.id + ")";
  state.progress = outcome.type == Outcome::Type::chosen      ? OrderState::Progress::chosen
                   : outcome.type == Outcome::Type::unchanged ? OrderState::Progress::unchanged
                   : outcome.type == Outcome::Type::refused   ? OrderState::Progress::refused
                                                              : OrderState::Progress::unknown;
  add_effect(subject + " is " + progress_names[static_cast<std::size_t>(state.progress)] +
             (outcome.value.serial > 0 ? ": " + describe(outcome.value) : ""));
  if (outcome.value.serial > 0) {
    if (revision_of(outcome.value) < state.min_revision)
      report_violation(subject + " was answered from revision " + std::to_string(revision_of(outcome.value)) +
                       ", older than revision " + std::to_string(state.min_revision) +
                       " that was reported before it was submitted");
    report_value(outcome.value, subject);
  }
  if (state.progress == OrderState::Progress::chosen) {
    state.serial = outcome.serial;
    if (order.type == Change::Type::apply && outcome.serial == 0)
      report_violation(subject + " was confirmed, yet it is not in the value");
    else if (order.type == Change::Type::apply && outcome.serial != order.expected + 1)
      report_violation(subject + " was applied on serial " + std::to_string(outcome.serial - 1) +
                       ", not on the expected " + std::to_string(order.expected));
    for (std::size_t i = 0; i < order_states_.size(); ++i) {
      if (i == index || order_states_[i].progress != OrderState::Progress::chosen) continue;
      bool const same_id = scenario_->orders[i].id == order.id;
      if (same_id && order_states_[i].serial != outcome.serial)
        report_violation(subject + " was applied twice: as serial " + std::to_string(order_states_[i].serial) +
                         " and " + std::to_string(outcome.serial));
      if (!same_id && outcome.serial > 0 && order_states_[i].serial == outcome.serial)
        report_violation("serial " + std::to_string(outcome.serial) + " was confirmed to two orders, " +
                         scenario_->orders[i].id + " and " + order.id);
    }
  }
  if (state.progress == OrderState::Progress::refused)
    state.may_be_chosen_later = outcome.value.serial == 0 || outcome.value.serial < order.expected;
  check_refusals();
}

// No reported value contains a refused order.
void World::check_refusals() {
  for (std::size_t i = 0; i < order_states_.size(); ++i) {
    if (order_states_[i].progress != OrderState::Progress::refused) continue;
    std::string const& id = scenario_->orders[i].id;
    if (order_states_[i].may_be_chosen_later) {
      bool sent_again = false;
      for (std::size_t j = 0; j < order_states_.size(); ++j)
        sent_again = sent_again || (j != i && scenario_->orders[j].id == id &&
                                    order_states_[j].progress != OrderState::Progress::refused);
      if (sent_again) continue;
    }
    for (std::shared_ptr<ReportedValue const> const& item : reported_values_)
      if (serial_of_change(*item->value, id) > 0)
        report_violation("order " + std::to_string(i + 1) + " (" + id +
                         ") was refused, yet it is in the value reported by " + item->source);
  }
}

void World::report_value(wire::ValueT const& value, std::string const& source) {
  std::shared_ptr<ReportedValue> const added = std::make_shared<ReportedValue>();
  ReportedValue& current = *added;
  current.revision = revision_of(value);
  current.serial = value.serial;
  current.content = content_hash(value);
  current.epoch = value.epoch;
  current.members = membership_hash(value);
  current.change = value.change;
  current.text = value.text;
  current.source = source;
  for (std::shared_ptr<ReportedValue const> const& reported : reported_values_) {
    ReportedValue const& item = *reported;
    if (item.revision == current.revision && item.content == current.content) return;
    std::string const both = " were reported, by " + item.source + " and by " + source;
    if (item.revision == current.revision)
      report_violation("two values of revision " + std::to_string(current.revision) + both + ": " +
                       describe(*item.value) + " and " + describe(value));
    if (item.serial == current.serial && (item.change != current.change || item.text != current.text))
      report_violation("two values of serial " + std::to_string(current.serial) + both + ": " + describe(*item.value) +
                       " and " + describe(value));
    if (item.epoch == current.epoch && item.members != current.members)
      report_violation("two memberships of epoch " + std::to_string(current.epoch) + both);
    ReportedValue const& older = item.revision < current.revision ? item : current;
    wire::ValueT const& newer = item.revision < current.revision ? value : *item.value;
    if (!older.change.empty() && serial_of_change(newer, older.change) != older.serial)
      report_violation("the value of revision " + std::to_string(revision_of(newer)) + " does not follow on '" +
                       older.change + "' of serial " + std::to_string(older.serial));
    if (older.serial > newer.serial || older.epoch > newer.epoch)
      report_violation("serial or epoch went back at revision " + std::to_string(revision_of(newer)));
  }
  current.value = std::make_shared<wire::ValueT const>(value);
  reported_values_.push_back(added);
  check_refusals();
}

void World::check_ballot(wire::Ballot const& ballot, wire::ValueT const& value) {
  std::uint64_t const content = content_hash(value);
  for (Proposal const& item : proposals_) {
    if (!same_ballot(item.ballot, ballot)) continue;
    if (item.content != content) report_violation("two values were proposed at ballot " + describe(ballot));
    return;
  }
  proposals_.push_back({ballot, content});
}

std::uint64_t World::newest_reported_revision() const {
  std::uint64_t out = 0;
  for (std::shared_ptr<ReportedValue const> const& item : reported_values_) out = std::max(out, item->revision);
  return out;
}

std::uint64_t World::state_hash() const {
  Fingerprint out(*symmetry_);
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    Fingerprint replica = replicas_[i].fingerprint;
    replica.add_number(replicas_[i].syncing_record ? 1 : 0);
    replica.add_disk(*symmetry_, replicas_[i].disk_id);
    out.add_replica(*symmetry_, i, replica);
  }
  for (Node const& node : nodes_) {
    out.add_part(node.fingerprint);
    out.add_number(node.incarnation);
  }
  Fingerprint bag(*symmetry_);
  for (std::shared_ptr<Message const> const& item : messages_) bag.add_unordered(item->fingerprint);
  out.add_part(bag);
  for (OrderState const& state : order_states_) {
    out.add_number(static_cast<std::uint64_t>(state.progress));
    out.add_number(state.min_revision);
    out.add_number(state.serial + (state.may_be_chosen_later ? 1000 : 0));
  }
  std::uint64_t reported_sum = 0;
  for (std::shared_ptr<ReportedValue const> const& item : reported_values_)
    reported_sum += hash_bits(item->revision * 31 + item->serial) ^ hash_text(item->change);
  out.add_number(reported_sum);
  std::uint64_t proposal_sum = 0;
  for (Proposal const& item : proposals_)
    proposal_sum += hash_bits(item.ballot.n() + hash_bits(item.ballot.who()) + item.content);
  out.add_number(proposal_sum);
  for (int const x :
       {remaining_bounds_.repeats, remaining_bounds_.retries, remaining_bounds_.give_ups, remaining_bounds_.restarts,
        remaining_bounds_.crashes, remaining_bounds_.wipes, remaining_bounds_.polls})
    out.add_number(static_cast<std::uint64_t>(x));
  return out.canonical_hash();
}

// --- recovery after the end of all faults

void World::drain(int max_turns) {
  lift_bounds(true);
  for (int turn = 0; turn < max_turns && violation_.empty(); ++turn) {
    for (std::size_t i = 0; i < replicas_.size(); ++i)
      while (replicas_[i].syncing_record) take({Step::Type::sync, i});
    while (!messages_.empty() && violation_.empty()) {
      take({Step::Type::deliver, 0});
      for (std::size_t i = 0; i < replicas_.size(); ++i)
        while (replicas_[i].syncing_record) take({Step::Type::sync, i});
    }
    bool busy = false;
    for (std::size_t i = 0; i < nodes_.size() && violation_.empty(); ++i)
      if (has_pending_timer(*nodes_[i].proposer) && messages_.empty()) {
        busy = true;
        take({Step::Type::retry, i});
        // Only one proposer runs at a time: two could raise each other's ballots forever.
        while (!messages_.empty() && violation_.empty()) take({Step::Type::deliver, 0});
      }
    if (!busy && messages_.empty()) break;
  }
  lift_bounds(false);
}

std::string World::check_recovery() const {
  std::vector<std::uint64_t> const disks = disk_ids();
  for (std::shared_ptr<ReportedValue const> const& item : reported_values_)
    if (item->revision == newest_reported_revision() && !is_quorum(*item->value, disks)) return "";
  for (Replica const& replica : replicas_)
    if (replica.acceptor->durable_state().value && !is_quorum(*replica.acceptor->durable_state().value, disks))
      return "";
  World later = *this;
  Scenario changed = *scenario_;
  changed.orders.push_back({"recovery", "reader", Change::Type::read, 0, "", -1, ""});
  changed.nodes.push_back("reader");
  changed.slow_disks = false;
  changed.push_chosen = false;
  later.scenario_ = std::make_shared<Scenario const>(changed);
  later.narration_enabled_ = false;
  later.messages_.clear();
  for (std::size_t i = 0; i < replicas_.size(); ++i)
    later.start_replica(i, replicas_[i].synced_record ? *replicas_[i].synced_record : wire::RecordT());
  later.nodes_.emplace_back();
  later.start_node(later.nodes_.size() - 1);
  later.order_states_.emplace_back();
  later.lift_bounds(true);
  // The other nodes restart and lose their pending changes.
  for (std::size_t i = 0; i + 1 < later.nodes_.size(); ++i) {
    later.restart(i);
    later.order_states_.back() = OrderState();
  }
  for (int round = 0; round < 3; ++round) {
    later.poll(later.nodes_.size() - 1);
    while (!later.messages_.empty()) later.take({Step::Type::deliver, 0});
  }
  later.submit(later.order_states_.size() - 1);
  later.drain(max_recovery_turns);
  if (!later.violation_.empty()) return "after the end of all faults: " + later.violation_;
  if (later.order_states_.back().progress <= OrderState::Progress::submitted)
    return "after the end of all faults a fresh node cannot read although a quorum has its disks";
  return "";
}

}  // namespace pipit::register_checker
