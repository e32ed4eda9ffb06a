#include "testing/register_model_checker/world.h"

#include <algorithm>
#include <map>

#include "base/guards.h"

namespace pipit::register_checker {

namespace {

// Rounds end only when the checker says so, so that times need no place in a state.
constexpr Micros round_time = seconds(1);
constexpr Micros longest_pause = seconds(1);
constexpr Micros complete_time = seconds(1000000);
constexpr std::uint64_t first_chance = 7;
// How many rounds a fresh node may need when nothing fails any more.
constexpr int recovery_turns = 60;

// Where the proposer under way puts its outcomes: its copies share one callback for each order.
thread_local std::vector<std::pair<std::size_t, Outcome>>* outcomes = nullptr;

char const* const type_names[] = {"ask",     "deliver", "repeat", "sync", "retry",
                                  "give up", "restart", "crash",  "wipe", "poll"};
char const* const progress_names[] = {"waiting", "asked", "chosen", "kept", "refused", "unknown"};

std::string small(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string type_name_of(wire::BodyUnion const& body) { return small(wire::EnumNameBody(body.type)); }

wire::ReplicaT replica_of(std::string const& name) {
  wire::ReplicaT out;
  out.name = name;
  if (!name.empty()) out.disk = static_cast<std::uint64_t>(replica_index(name) + 1) * disks_per_replica;
  return out;
}

Change change_of(Order const& order) {
  Change out;
  out.type = order.type;
  out.id = order.id;
  out.expected = order.expected;
  if (order.type == Change::Type::apply) out.text = "text of " + order.id;
  if (order.type == Change::Type::empty || order.type == Change::Type::refill) out.text = "zone";
  out.replica = replica_of(order.replica);
  out.replaced_replica = replica_of(order.leaving);
  return out;
}

}  // namespace

World::World(Scenario const& scenario_, Symmetry const& symmetry_)
    : scenario(std::make_shared<Scenario const>(scenario_)), symmetry(&symmetry_), left(scenario_.bounds) {
  wire::ValueT const first = first_value(scenario->members);
  replicas.resize(scenario->replicas);
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    replicas[i].disk_id = (i + 1) * disks_per_replica;
    wire::RecordT record;
    record.name = replica_name(i);
    record.disk = replicas[i].disk_id;
    if (std::find(scenario->members.begin(), scenario->members.end(), i) != scenario->members.end()) {
      record.formed = true;
      record.promised = wire::Ballot(1, 0);
      record.accepted = wire::Ballot(1, 0);
      record.value = std::make_unique<wire::ValueT>(first);
    }
    start_replica(i, std::move(record));
  }
  nodes.resize(scenario->nodes.size());
  for (std::size_t i = 0; i < nodes.size(); ++i) start_node(i);
  states.resize(scenario->orders.size());
  tell(first, "the start");
}

void World::lift_bounds(bool on) {
  if (on == lifted) return;
  lifted = on;
  std::swap(left, lifted_bounds);
  if (on) left = Bounds{99, 99, 99, 99, 99, 99, 99, 0};
}

// --- choices

std::vector<Step> World::steps() const {
  std::vector<Step> out;
  for (std::size_t i = 0; i < states.size(); ++i) {
    if (states[i].progress != OrderState::Progress::waiting) continue;
    int const after = scenario->orders[i].after;
    if (after >= 0 && states[static_cast<std::size_t>(after)].progress <= OrderState::Progress::asked) continue;
    out.push_back({Step::Type::ask, i});
  }
  std::vector<std::uint64_t> seen;
  for (std::size_t i = 0; i < messages.size(); ++i) {
    std::uint64_t const lane = messages[i]->print.lane(0);
    if (std::find(seen.begin(), seen.end(), lane) != seen.end()) continue;  // the same message once more
    seen.push_back(lane);
    out.push_back({Step::Type::deliver, i});
    if (left.repeats > 0) out.push_back({Step::Type::repeat, i});
  }
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    if (replicas[i].saving) out.push_back({Step::Type::sync, i});
    if (left.crashes > 0 && replicas[i].saving) out.push_back({Step::Type::crash, i});
    if (left.wipes > 0) out.push_back({Step::Type::wipe, i});
  }
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    bool const timer = has_timer(*nodes[i].proposer);
    if (timer && left.retries > 0) out.push_back({Step::Type::retry, i});
    if (timer && left.give_ups > 0) out.push_back({Step::Type::give_up, i});
    if (left.restarts > 0) out.push_back({Step::Type::restart, i});
    if (left.polls > 0) out.push_back({Step::Type::poll, i});
  }
  return out;
}

std::string World::step_text(Step const& step) const {
  std::string out = type_names[static_cast<std::size_t>(step.type)];
  switch (step.type) {
    case Step::Type::ask:
      // An order is named by its place: the same id may be sent twice.
      return out + " " + std::to_string(step.index + 1) + " " + scenario->orders[step.index].id + " at " +
             scenario->orders[step.index].node;
    case Step::Type::deliver:
    case Step::Type::repeat: {
      Message const& message = *messages[step.index];
      std::size_t nth = 1;
      for (std::size_t i = 0; i < step.index; ++i)
        if (messages[i]->from == message.from && messages[i]->to == message.to &&
            messages[i]->body.type == message.body.type && round_of(messages[i]->body) == round_of(message.body))
          ++nth;
      out += " " + type_name_of(message.body) + " " + message.from + ">" + message.to;
      std::uint64_t const round = round_of(message.body);
      if (round > 0) out += " in round " + std::to_string(round);
      return nth > 1 ? out + " #" + std::to_string(nth) : out;
    }
    case Step::Type::sync:
    case Step::Type::crash:
    case Step::Type::wipe:
      return out + " " + replica_name(step.index);
    default:
      return out + " " + scenario->nodes[step.index];
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
  happened.clear();
  switch (step.type) {
    case Step::Type::ask:
      ask(step.index);
      break;
    case Step::Type::deliver:
      deliver(step.index, false);
      break;
    case Step::Type::repeat:
      --left.repeats;
      deliver(step.index, true);
      break;
    case Step::Type::sync:
      sync(step.index);
      break;
    case Step::Type::retry:
      --left.retries;
      retry(step.index, round_time + longest_pause);
      break;
    case Step::Type::give_up:
      --left.give_ups;
      retry(step.index, complete_time);
      break;
    case Step::Type::restart:
      --left.restarts;
      restart(step.index);
      break;
    case Step::Type::crash:
      --left.crashes;
      crash(step.index);
      break;
    case Step::Type::wipe:
      --left.wipes;
      wipe(step.index);
      break;
    case Step::Type::poll:
      --left.polls;
      poll(step.index);
      break;
  }
  drop_late();
}

// --- replicas

void World::start_replica(std::size_t index, wire::RecordT record) {
  Replica& replica = replicas[index];
  replica.saving.reset();
  replica.disk = std::make_shared<wire::RecordT const>(record);
  replica.acceptor = std::make_shared<Acceptor const>(std::move(record));
  replica.print = print_of(*replica.acceptor, *symmetry);
}

void World::after_acceptor(std::size_t index, Acceptor next, std::vector<OutgoingMessage>& out,
                           std::optional<wire::RecordT> save) {
  Replica& replica = replicas[index];
  while (save) {
    replica.saving = std::make_shared<wire::RecordT const>(std::move(*save));
    save.reset();
    if (scenario->slow_disks) break;
    replica.disk = std::move(replica.saving);
    replica.saving.reset();
    next.on_synced(out);
    save = next.step(out);
  }
  replica.acceptor = std::make_shared<Acceptor const>(std::move(next));
  replica.print = print_of(*replica.acceptor, *symmetry);
  send(replica_name(index), out);
}

void World::deliver_to_replica(std::size_t index, Message const& message) {
  std::vector<OutgoingMessage> out;
  if (wire::ReadRequestT const* const ask = message.body.AsReadRequest()) {
    out.push_back(message_to(message.from, make_read_reply(replicas[index].acceptor->durable_state(), *ask)));
    return send(replica_name(index), out);
  }
  Acceptor next = *replicas[index].acceptor;
  next.enqueue(message.from, message.body);
  std::optional<wire::RecordT> save = next.step(out);
  after_acceptor(index, std::move(next), out, std::move(save));
}

void World::sync(std::size_t index) {
  Replica& replica = replicas[index];
  replica.disk = std::move(replica.saving);
  replica.saving.reset();
  Acceptor next = *replica.acceptor;
  std::vector<OutgoingMessage> out;
  next.on_synced(out);
  std::optional<wire::RecordT> save = next.step(out);
  after_acceptor(index, std::move(next), out, std::move(save));
}

void World::crash(std::size_t index) {
  note("starts from " + (replicas[index].disk->value ? words_of(*replicas[index].disk->value) : "a blank disk"));
  start_replica(index, *replicas[index].disk);
}

void World::wipe(std::size_t index) {
  wire::RecordT blank;
  blank.name = replica_name(index);
  blank.disk = ++replicas[index].disk_id;
  start_replica(index, std::move(blank));
}

std::vector<std::uint64_t> World::disk_ids() const {
  std::vector<std::uint64_t> out;
  for (Replica const& replica : replicas) out.push_back(replica.disk_id);
  return out;
}

// --- nodes

int World::node_index(std::string const& name) const {
  for (std::size_t i = 0; i < scenario->nodes.size(); ++i)
    if (scenario->nodes[i] == name) return static_cast<int>(i);
  return -1;
}

void World::start_node(std::size_t index) {
  Node& node = nodes[index];
  ProposerOptions options;
  options.phase_timeout = round_time;
  options.change_timeout = complete_time;
  std::uint64_t const chance = first_chance + (scenario->same_chance ? 0 : node.incarnation);
  Proposer proposer(scenario->nodes[index], chance, options);
  Learner learner;
  // A later incarnation reads the set from its peers; the first one is what every node knew.
  start_with(proposer, learner, first_value(scenario->members));
  node.proposer = std::make_shared<Proposer const>(proposer);
  node.learner = std::make_shared<Learner const>(learner);
  node.print = print_of(proposer, *symmetry);
  node.print.part(print_of(learner, *symmetry));
}

void World::ask(std::size_t index) {
  Order const& order = scenario->orders[index];
  std::size_t const at = static_cast<std::size_t>(node_index(order.node));
  states[index].progress = OrderState::Progress::asked;
  states[index].floor = newest_reported();
  Proposer next = *nodes[at].proposer;
  std::vector<std::pair<std::size_t, Outcome>> got;
  outcomes = &got;
  next.submit(
      change_of(order),
      [index](Outcome const& outcome) {
        outcomes->push_back({index, outcome});
      },
      nodes[at].now);
  std::vector<OutgoingMessage> out;
  next.tick(nodes[at].now, out);
  std::vector<Ending> endings;
  for (std::pair<std::size_t, Outcome>& item : got) endings.push_back({item.first, std::move(item.second)});
  after_node(at, next, *nodes[at].learner, out, endings);
}

void World::deliver_to_node(std::size_t index, Message const& message) {
  Node& node = nodes[index];
  Proposer proposer = *node.proposer;
  Learner learner = *node.learner;
  std::vector<std::pair<std::size_t, Outcome>> got;
  outcomes = &got;
  std::vector<OutgoingMessage> out;
  if (wire::ReadReplyT const* const ans = message.body.AsReadReply()) {
    if (std::optional<wire::ValueT> const fresh = learner.handle_reply(message.from, *ans, node.now, out))
      tell(*fresh, "the learner of " + scenario->nodes[index]);
    tell_members(proposer, learner);
  } else if (wire::ChosenT const* const update = message.body.AsChosen()) {
    if (update->value) learner.adopt(*update->value, node.now);
    tell_members(proposer, learner);
  } else {
    proposer.handle_reply(message.from, message.body, node.now, out);
  }
  std::vector<Ending> endings;
  for (std::pair<std::size_t, Outcome>& item : got) endings.push_back({item.first, std::move(item.second)});
  after_node(index, proposer, learner, out, endings);
}

void World::after_node(std::size_t index, Proposer const& changed, Learner const& learned,
                       std::vector<OutgoingMessage>& out, std::vector<Ending>& endings) {
  Node& node = nodes[index];
  Proposer proposer = changed;
  Learner learner = learned;
  for (Ending const& ending : endings) end(index, ending, learner, out);
  if (!endings.empty()) {
    tell_members(proposer, learner);
    // The next change that waits begins at once.
    std::vector<std::pair<std::size_t, Outcome>> got;
    outcomes = &got;
    proposer.tick(node.now, out);
  }
  for (OutgoingMessage const& item : out)
    if (wire::AcceptT const* const sent = item.body.AsAccept()) check_ballot(sent->ballot, draft_of(proposer));
  node.proposer = std::make_shared<Proposer const>(proposer);
  node.learner = std::make_shared<Learner const>(std::move(learner));
  node.print = print_of(*node.proposer, *symmetry);
  node.print.part(print_of(*node.learner, *symmetry));
  send(scenario->nodes[index], out);
}

void World::retry(std::size_t index, Micros by) {
  Node& node = nodes[index];
  Proposer next = *node.proposer;
  std::vector<std::pair<std::size_t, Outcome>> got;
  outcomes = &got;
  std::vector<OutgoingMessage> out;
  // The round ends, then the pause after it; a pause alone is over with the first tick.
  node.now += by;
  next.tick(node.now, out);
  if (got.empty() && out.empty()) {
    node.now += longest_pause;
    next.tick(node.now, out);
  }
  std::vector<Ending> endings;
  for (std::pair<std::size_t, Outcome>& item : got) endings.push_back({item.first, std::move(item.second)});
  after_node(index, next, *node.learner, out, endings);
}

void World::restart(std::size_t index) {
  for (std::size_t i = 0; i < states.size(); ++i)
    if (states[i].progress == OrderState::Progress::asked && scenario->orders[i].node == scenario->nodes[index])
      states[i].progress = OrderState::Progress::unknown;
  ++nodes[index].incarnation;
  start_node(index);
}

void World::poll(std::size_t index) {
  Node& node = nodes[index];
  Learner next = *node.learner;
  std::vector<std::string> names;
  for (std::size_t i = 0; i < replicas.size(); ++i) names.push_back(replica_name(i));
  std::vector<OutgoingMessage> out;
  next.poll(node.now, names, -1, out);
  std::vector<Ending> none;
  after_node(index, *node.proposer, next, out, none);
}

// --- messages

void World::send(std::string const& from, std::vector<OutgoingMessage>& out) {
  std::map<std::string, std::string> sent;
  for (OutgoingMessage& item : out) {
    std::shared_ptr<Message> message = std::make_shared<Message>();
    message->from = from;
    message->to = std::move(item.to);
    message->body = std::move(item.body);
    message->print = Print(*symmetry);
    message->print.name(*symmetry, message->from);
    message->print.name(*symmetry, message->to);
    message->print.part(print_of(message->body, *symmetry));
    if (narrated)
      sent["sends " + type_name_of(message->body) + " (" + words_of(message->body) + ") to"] += " " + message->to;
    messages.push_back(std::move(message));
  }
  for (std::pair<std::string const, std::string> const& item : sent) note(item.first + item.second);
  out.clear();
}

void World::deliver(std::size_t index, bool keep) {
  std::shared_ptr<Message const> const message = messages[index];
  if (!keep) messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(index));
  if (int const replica = replica_index(message->to); replica >= 0)
    deliver_to_replica(static_cast<std::size_t>(replica), *message);
  else
    deliver_to_node(static_cast<std::size_t>(node_index(message->to)), *message);
}

// A message that can never again change anything is taken off, which is the same as its loss.
void World::drop_late() {
  // An answer to one incarnation may pass for one to the next that draws the same chance.
  bool const restarts_repeat = scenario->same_chance;
  messages.erase(std::remove_if(messages.begin(), messages.end(),
                                [this, restarts_repeat](std::shared_ptr<Message const> const& item) {
                                  int const node = node_index(item->to);
                                  if (node < 0 || restarts_repeat) return false;
                                  Node const& to = nodes[static_cast<std::size_t>(node)];
                                  return is_late(*to.proposer, item->body) || is_late(*to.learner, item->body);
                                }),
                 messages.end());
}

// --- what is told, and what must hold

void World::blame(std::string const& text) {
  if (wrong.empty()) wrong = text;
}

void World::note(std::string const& text) {
  if (!narrated) return;
  if (!happened.empty()) happened += "; ";
  happened += text;
}

void World::end(std::size_t index, Ending const& ending, Learner& learner, std::vector<OutgoingMessage>& out) {
  Outcome const& outcome = ending.outcome;
  bool const holds = outcome.type == Outcome::Type::chosen || outcome.type == Outcome::Type::unchanged;
  check_outcome(ending.order, outcome);
  if (holds || outcome.value.serial > 0) learner.adopt(outcome.value, nodes[index].now);
  if (!holds || !scenario->push) return;
  for (std::string const& name : scenario->nodes) {
    if (name == scenario->nodes[index]) continue;
    wire::ChosenT update;
    update.value = std::make_unique<wire::ValueT>(outcome.value);
    out.push_back(message_to(name, std::move(update)));
  }
}

void World::check_outcome(std::size_t index, Outcome const& outcome) {
  OrderState& state = states[index];
  Order const& order = scenario->orders[index];
  std::string const who = "order " + std::to_string(index + 1) + " (" + order.id + ")";
  state.progress = outcome.type == Outcome::Type::chosen      ? OrderState::Progress::chosen
                   : outcome.type == Outcome::Type::unchanged ? OrderState::Progress::kept
                   : outcome.type == Outcome::Type::refused   ? OrderState::Progress::refused
                                                              : OrderState::Progress::unknown;
  note(who + " is " + progress_names[static_cast<std::size_t>(state.progress)] +
       (outcome.value.serial > 0 ? ": " + words_of(outcome.value) : ""));
  if (outcome.value.serial > 0) {
    if (revision_of(outcome.value) < state.floor)
      blame(who + " was answered from revision " + std::to_string(revision_of(outcome.value)) +
            ", older than revision " + std::to_string(state.floor) + " that was told before it was asked");
    tell(outcome.value, who);
  }
  if (state.progress == OrderState::Progress::chosen) {
    state.serial = outcome.serial;
    if (order.type == Change::Type::apply && outcome.serial == 0)
      blame(who + " was confirmed, yet it is not in the value");
    else if (order.type == Change::Type::apply && outcome.serial != order.expected + 1)
      blame(who + " was made on serial " + std::to_string(outcome.serial - 1) + ", not on the expected " +
            std::to_string(order.expected));
    for (std::size_t i = 0; i < states.size(); ++i) {
      if (i == index || states[i].progress != OrderState::Progress::chosen) continue;
      bool const same_id = scenario->orders[i].id == order.id;
      if (same_id && states[i].serial != outcome.serial)
        blame(who + " was taken twice: as serial " + std::to_string(states[i].serial) + " and " +
              std::to_string(outcome.serial));
      if (!same_id && outcome.serial > 0 && states[i].serial == outcome.serial)
        blame("serial " + std::to_string(outcome.serial) + " was confirmed to two orders, " + scenario->orders[i].id +
              " and " + order.id);
    }
  }
  if (state.progress == OrderState::Progress::refused)
    state.may_come = outcome.value.serial == 0 || outcome.value.serial < order.expected;
  check_refusals();
}

// A refused order is in no value that is told, nor was it ever.
void World::check_refusals() {
  for (std::size_t i = 0; i < states.size(); ++i) {
    if (states[i].progress != OrderState::Progress::refused) continue;
    std::string const& id = scenario->orders[i].id;
    if (states[i].may_come) {
      bool others = false;
      for (std::size_t j = 0; j < states.size(); ++j)
        others =
            others || (j != i && scenario->orders[j].id == id && states[j].progress != OrderState::Progress::refused);
      if (others) continue;
    }
    for (std::shared_ptr<ReportedValue const> const& item : reported_values)
      if (serial_of_change(*item->value, id) > 0)
        blame("order " + std::to_string(i + 1) + " (" + id + ") was refused, yet it is in the value told by " +
              item->by);
  }
}

void World::tell(wire::ValueT const& value, std::string const& by) {
  std::shared_ptr<ReportedValue> const made = std::make_shared<ReportedValue>();
  ReportedValue& now = *made;
  now.revision = revision_of(value);
  now.serial = value.serial;
  now.content = content_of(value);
  now.epoch = value.epoch;
  now.members = members_of(value);
  now.change = value.change;
  now.text = value.text;
  now.by = by;
  for (std::shared_ptr<ReportedValue const> const& reported : reported_values) {
    ReportedValue const& item = *reported;
    if (item.revision == now.revision && item.content == now.content) return;
    std::string const both = " were told, by " + item.by + " and by " + by;
    if (item.revision == now.revision)
      blame("two values of revision " + std::to_string(now.revision) + both + ": " + words_of(*item.value) + " and " +
            words_of(value));
    if (item.serial == now.serial && (item.change != now.change || item.text != now.text))
      blame("two values of serial " + std::to_string(now.serial) + both + ": " + words_of(*item.value) + " and " +
            words_of(value));
    if (item.epoch == now.epoch && item.members != now.members)
      blame("two sets of epoch " + std::to_string(now.epoch) + both);
    ReportedValue const& older = item.revision < now.revision ? item : now;
    wire::ValueT const& newer = item.revision < now.revision ? value : *item.value;
    if (!older.change.empty() && serial_of_change(newer, older.change) != older.serial)
      blame("the value of revision " + std::to_string(revision_of(newer)) + " does not follow on '" + older.change +
            "' of serial " + std::to_string(older.serial));
    if (older.serial > newer.serial || older.epoch > newer.epoch)
      blame("serial or epoch went back at revision " + std::to_string(revision_of(newer)));
  }
  now.value = std::make_shared<wire::ValueT const>(value);
  reported_values.push_back(made);
  check_refusals();
}

void World::check_ballot(wire::Ballot const& ballot, wire::ValueT const& value) {
  std::uint64_t const content = content_of(value);
  for (Proposal const& item : proposed) {
    if (!same_ballot(item.ballot, ballot)) continue;
    if (item.content != content) blame("two values were proposed at ballot " + words_of(ballot));
    return;
  }
  proposed.push_back({ballot, content});
}

std::uint64_t World::newest_reported() const {
  std::uint64_t out = 0;
  for (std::shared_ptr<ReportedValue const> const& item : reported_values) out = std::max(out, item->revision);
  return out;
}

std::uint64_t World::print() const {
  Print out(*symmetry);
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    Print one = replicas[i].print;
    one.number(replicas[i].saving ? 1 : 0);
    one.disk(*symmetry, replicas[i].disk_id);
    out.replica(*symmetry, i, one);
  }
  for (Node const& node : nodes) {
    out.part(node.print);
    out.number(node.incarnation);
  }
  Print bag(*symmetry);
  for (std::shared_ptr<Message const> const& item : messages) bag.member(item->print);
  out.part(bag);
  for (OrderState const& state : states) {
    out.number(static_cast<std::uint64_t>(state.progress));
    out.number(state.floor);
    out.number(state.serial + (state.may_come ? 1000 : 0));
  }
  std::uint64_t reported = 0;
  for (std::shared_ptr<ReportedValue const> const& item : reported_values)
    reported += hash_bits(item->revision * 31 + item->serial) ^ hash_text(item->change);
  out.number(reported);
  std::uint64_t sum = 0;
  for (Proposal const& item : proposed) sum += hash_bits(item.ballot.n() + hash_bits(item.ballot.who()) + item.content);
  out.number(sum);
  for (int const x : {left.repeats, left.retries, left.give_ups, left.restarts, left.crashes, left.wipes, left.polls})
    out.number(static_cast<std::uint64_t>(x));
  return out.least();
}

// --- the end of all faults

void World::drain(int turns) {
  lift_bounds(true);
  for (int turn = 0; turn < turns && wrong.empty(); ++turn) {
    for (std::size_t i = 0; i < replicas.size(); ++i)
      while (replicas[i].saving) take({Step::Type::sync, i});
    while (!messages.empty() && wrong.empty()) {
      take({Step::Type::deliver, 0});
      for (std::size_t i = 0; i < replicas.size(); ++i)
        while (replicas[i].saving) take({Step::Type::sync, i});
    }
    bool busy = false;
    for (std::size_t i = 0; i < nodes.size() && wrong.empty(); ++i)
      if (has_timer(*nodes[i].proposer) && messages.empty()) {
        busy = true;
        take({Step::Type::retry, i});
        // One at a time, so that no two outbid each other for ever.
        while (!messages.empty() && wrong.empty()) take({Step::Type::deliver, 0});
      }
    if (!busy && messages.empty()) break;
  }
  lift_bounds(false);
}

std::string World::check_recovery() const {
  std::vector<std::uint64_t> const disks = disk_ids();
  for (std::shared_ptr<ReportedValue const> const& item : reported_values)
    if (item->revision == newest_reported() && !is_quorum(*item->value, disks)) return "";
  for (Replica const& replica : replicas)
    if (replica.acceptor->durable_state().value && !is_quorum(*replica.acceptor->durable_state().value, disks))
      return "";
  World later = *this;
  Scenario changed = *scenario;
  changed.orders.push_back({"recovery", "reader", Change::Type::read, 0, "", -1, ""});
  changed.nodes.push_back("reader");
  changed.slow_disks = false;
  changed.push = false;
  later.scenario = std::make_shared<Scenario const>(changed);
  later.narrated = false;
  later.messages.clear();
  for (std::size_t i = 0; i < replicas.size(); ++i)
    later.start_replica(i, replicas[i].disk ? *replicas[i].disk : wire::RecordT());
  later.nodes.emplace_back();
  later.start_node(later.nodes.size() - 1);
  later.states.emplace_back();
  later.lift_bounds(true);
  // The other nodes are gone with what they had under way.
  for (std::size_t i = 0; i + 1 < later.nodes.size(); ++i) {
    later.restart(i);
    later.states.back() = OrderState();
  }
  for (int round = 0; round < 3; ++round) {
    later.poll(later.nodes.size() - 1);
    while (!later.messages.empty()) later.take({Step::Type::deliver, 0});
  }
  later.ask(later.states.size() - 1);
  later.drain(recovery_turns);
  if (!later.wrong.empty()) return "after the end of all faults: " + later.wrong;
  if (later.states.back().progress <= OrderState::Progress::asked)
    return "after the end of all faults a fresh node cannot read though a quorum is whole";
  return "";
}

}  // namespace pipit::register_checker
