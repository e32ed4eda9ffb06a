#include "flow/errand/desk.h"

#include <algorithm>

#include "base/events.h"
#include "base/guards.h"
#include "base/hash.h"

namespace pipit {

namespace {
// §7.4: each first send earns this much of a re-send; with a small store besides. The sum over all nodes
// therefore holds with no talk between them.
constexpr double bucket_share = 0.18;
constexpr double bucket_most = 2.0;
}  // namespace

void Desk::in_force(std::shared_ptr<Description const> description, std::set<std::string> emptied) {
  rules_ = std::move(description);
  shut_ = std::move(emptied);
}

Micros Desk::service(Pool const& pool) const {
  std::map<std::string, double>::const_iterator const seen = service_seen_.find(pool.name);
  return seen == service_seen_.end() ? pool.service : static_cast<Micros>(seen->second);
}

void Desk::give_up(Errand& errand, Fault fault, Micros wait, DeskOut& out) {
  ++tally.refused;
  KindRow const& row = kind_row(fault.kind);
  Ran const ran = errand.legs == 0 ? row.ran : errand.ran;
  if (wait == 0) wait = row.wait;
  // A crowd that is refused must not come back in one wave: the time is spread over as much again.
  if (fault.kind == Kind::crowded || fault.kind == Kind::backlog_full || fault.kind == Kind::expired)
    wait += static_cast<Micros>(hash_bits(errand.id ^ hash_text(self_)) %
                                static_cast<std::uint64_t>(std::max<Micros>(1, wait)));
  if (ran == Ran::no && wait == 0 && row.status >= 429) wait = millis(1000);
  log_event(Event::errand_refused, std::string(row.name) + " lane " +
                                       (errand.lane == nullptr ? "-" : errand.lane->name) + " ran " + ran_word(ran) +
                                       " back in " + std::to_string(wait / 1000) + " ms");
  out.ends.push_back(Verdict{errand.id, std::move(fault), ran, wait});
  erase(errand);
}

// How much longer than predicted requests have waited of late: other nodes take what is free too, and the more urgent
// overtake. A prediction is believed times this.
void Desk::learn_wait(Errand const& errand, Micros took) {
  if (errand.guess < millis(20)) return;
  double const seen = static_cast<double>(took) / static_cast<double>(errand.guess);
  longer_ = std::clamp(longer_ * 0.95 + seen * 0.05, 1.0, 8.0);
}

// What has waited longer than it was believed to has lost one race after another, and is held to lose more.
Micros Desk::overdue(Errand const& errand, Micros now) const {
  return 3 * std::max<Micros>(0, now - errand.came - likely(errand.guess));
}

Micros Desk::likely(Micros wait) const { return static_cast<Micros>(static_cast<double>(wait) * longer_); }

void Desk::erase(Errand& errand) {
  if (errand.is_linked()) {
    backlog_.erase(backlog_.iterator_to(errand));
    --lane_waiting_[errand.lane->name];
  }
  errands_.erase(errand.id);
}

void Desk::fresh(std::uint64_t id, Ask ask, Micros now, DeskOut& out) {
  ++tally.asked;
  std::unique_ptr<Errand> made = std::make_unique<Errand>();
  Errand& errand = *made;
  errand.id = id;
  errand.ask = std::move(ask);
  errand.rules = rules_;
  errand.came = now;
  errands_.emplace(id, std::move(made));
  if (draining_) return give_up(errand, Fault{Kind::draining, "", ""}, 0, out);
  if (!open_) return give_up(errand, Fault{Kind::not_ready, "", ""}, 0, out);
  Facts const& facts = errand.ask.facts;
  bool model_known = false;
  for (Pool const& pool : rules_->pools) model_known = model_known || pool.model == facts.model;
  if (!model_known)
    return give_up(errand, Fault{Kind::unknown_model, "no pool serves the model '" + facts.model + "'", ""}, 0, out);
  if (!errand.ask.lane.empty()) {
    errand.lane = rules_->lane(errand.ask.lane);
    if (errand.lane == nullptr)
      return give_up(errand, Fault{Kind::unknown_lane, "there is no lane '" + errand.ask.lane + "'", ""}, 0, out);
    if (!errand.lane->binding.match.holds(facts, 0))
      return give_up(errand,
                     Fault{Kind::unknown_lane, "the lane '" + errand.ask.lane + "' does not take this request", ""}, 0,
                     out);
  } else {
    for (Lane const& lane : rules_->lanes)
      if (errand.lane == nullptr && lane.binding.match.holds(facts, 0)) errand.lane = &lane;
    if (errand.lane == nullptr)
      return give_up(errand, Fault{Kind::unknown_lane, "no lane takes this request", ""}, 0, out);
  }
  errand.model = rules_->pool(errand.lane->binding.pools.front().pool)->model;
  if (errand.model != facts.model)
    return give_up(errand, Fault{Kind::unknown_model, "the lane does not serve the model '" + facts.model + "'", ""}, 0,
                   out);
  errand.safe = errand.lane->policy.safe || errand.ask.safe;
  errand.due = now + errand.lane->policy.wait;
  std::size_t ahead = 0;
  for (Errand const& other : backlog_) {
    if (!(other < errand)) break;
    ++ahead;
  }
  Choice choice = held_ ? Choice{Say::wait, nullptr, 0, 0, Kind::not_ready, ""} : select(errand, ahead, now);
  if (choice.say == Say::go && ahead == 0) return go(errand, choice, now, out);
  if (!choice.ask.empty()) out.asks.push_back(choice.ask);
  if (choice.say == Say::never) return give_up(errand, Fault{choice.kind, "", ""}, choice.wait, out);
  // §6.5: taken in only when the prediction fits half the wait, as predictions have held of late. The mean says nothing
  // of those more urgent who come later; without this margin they turn a waiting request into a late refusal.
  errand.guess = choice.wait;
  if (choice.say == Say::wait && likely(choice.wait) > errand.lane->policy.wait / 2)
    return give_up(errand, Fault{Kind::crowded, "", ""}, std::clamp<Micros>(choice.wait, millis(500), seconds(10)),
                   out);
  std::int64_t& count = lane_waiting_[errand.lane->name];
  if (count >= errand.lane->policy.backlog)
    return give_up(errand, Fault{Kind::backlog_full, "", ""}, std::clamp<Micros>(choice.wait, millis(500), seconds(10)),
                   out);
  ++count;
  backlog_.insert(errand);
  // Nobody overtakes those who wait already: what is free goes out in the backlog's order.
  if (choice.say == Say::go) work(now, out);
}

Desk::Choice Desk::select(Errand const& errand, std::size_t ahead, Micros now, bool sure_only) {
  Choice best;
  Micros least = 0;
  bool least_bare = false;
  Micros soonest = -1;
  std::int64_t cold_shares = 0;  // of workers that are free but cold
  Micros cold_ends = -1;
  std::map<std::string, std::size_t> const hits = index_sync_.index(errand.model).match(errand.ask.path);
  for (Binding::Choice const& way : errand.lane->binding.pools) {
    Pool const* const pool = errand.rules->pool(way.pool);
    std::int64_t slots = 0;
    std::int64_t busy = 0;
    std::vector<Worker*> field;
    for (std::pair<std::string const, Worker>& item : fleet_.workers) {
      Worker& worker = item.second;
      if (worker.row.pool != pool->name || !worker.takes() || (guard(Guard::zone_veto) && shut_.count(worker.row.zone)))
        continue;
      if (errand.lane->policy.locality == Locality::only && worker.row.zone != zone_) continue;
      slots += worker.room(*pool);
      busy += worker.guess();
      if (!errand.tried.count(item.first)) field.push_back(&worker);
    }
    if (slots == 0 || !way.when.holds(errand.ask.facts, busy * 100 / slots)) continue;
    Micros const hold = service(*pool);
    for (Worker* const worker : field) {
      std::int64_t const room = worker->room(*pool);
      std::int64_t const load = worker->guess();
      if (load >= room) {
        std::int64_t const nodes = static_cast<std::int64_t>(std::max<std::size_t>(1, names_.size()));
        Micros const wait = hold * static_cast<Micros>(ahead + 1) * nodes / std::max<std::int64_t>(1, slots);
        if (soonest < 0 || wait < soonest) soonest = wait;
        continue;
      }
      std::int64_t const share = newcomer_ ? 0 : fleet_.cold_share(*worker, pool->cold, self_, names_);
      Micros const cold = fleet_.cold_for(*worker, pool->cold_span, now);
      if (cold > 0 && guard(Guard::cold_share) && !fleet_.cold_room(*worker, share, now)) {
        cold_shares += share;
        if (cold_ends < 0 || cold < cold_ends) cold_ends = cold;
        continue;
      }
      // §6.6: a worker that does not answer in time is passed over while others can be had.
      bool const bare = share == 0 && guard(Guard::cold_share);
      bool const unsure = guard(Guard::ask_first) && fleet_.unsure(*worker, share, now);
      if (unsure && (sure_only || (worker->asked >= 0 && now - worker->asked > millis(100)))) {
        if (soonest < 0 || soonest > millis(50)) soonest = millis(50);
        continue;
      }
      std::map<std::string, std::size_t>::const_iterator const hit = hits.find(worker->row.id);
      std::size_t const have = hit == hits.end() ? 0 : hit->second;
      // §6.4: what is missing of the prefix, what runs already, and the way there.
      Micros cost = static_cast<Micros>(errand.ask.path.size() - have) * pool->block_cost;
      cost += hold * load / room / 10;
      if (worker->row.zone != zone_ && errand.lane->policy.locality != Locality::any)
        cost += errand.rules->locality_cost;
      // A node that has no share of this worker's bound goes there only for want of any other.
      if (best.worker == nullptr || (bare != least_bare ? least_bare : cost < least)) {
        best.worker = worker;
        least_bare = bare;
        best.hit = have;
        best.ask = unsure ? worker->row.id : "";
        least = cost;
      }
    }
    if (best.worker != nullptr) {
      best.say = best.ask.empty() ? Say::go : Say::wait;
      best.wait = best.ask.empty() ? least : millis(30);
      return best;
    }
  }
  if (cold_ends >= 0) {
    // The share of this node comes free window by window, until the first of them is warm.
    Micros wait = cold_ends;
    if (cold_shares > 0) wait = std::min(wait, Fleet::cold_window * static_cast<Micros>(ahead + 1) / cold_shares);
    if (soonest < 0 || wait < soonest) soonest = wait;
  }
  if (soonest >= 0) {
    best.say = Say::wait;
    best.wait = soonest;
    return best;
  }
  best.kind = errand.tried.empty() ? Kind::no_worker : Kind::worker_unreached;
  return best;
}

void Desk::go(Errand& errand, Choice const& choice, Micros now, DeskOut& out) {
  if (errand.is_linked()) {
    backlog_.erase(backlog_.iterator_to(errand));
    --lane_waiting_[errand.lane->name];
  }
  Worker& worker = *choice.worker;
  Pool const& pool = *errand.rules->pool(worker.row.pool);
  bool const first = errand.legs == 0;
  ++errand.legs;
  errand.left = false;
  errand.worker = worker.row.id;
  errand.incarnation = worker.row.incarnation;
  errand.pool = pool.name;
  errand.leg_from = now;
  errand.tried.insert(worker.row.id);
  if (first) {
    ++tally.first_sends;
    bucket_ = std::min(bucket_most, bucket_ + bucket_share);
    tally.blocks_asked += errand.ask.path.size();
    tally.blocks_hit += choice.hit;
  } else {
    ++tally.resends;
    bucket_ -= 1.0;
    log_event(Event::leg_resent, errand.worker);
  }
  if (worker.row.zone != zone_) ++tally.far_sends;
  worker.legs.insert(now);
  ++worker.sent;
  while (!worker.sends.empty() && now - worker.sends.front() >= Fleet::cold_window) worker.sends.pop_front();
  worker.sends.push_back(now);
  Index::Bounds const bounds{static_cast<std::size_t>(pool.cache_blocks), pool.cache_age};
  index_sync_.queue(
      errand.model,
      index_sync_.index(errand.model).touch(errand.ask.path, worker.row.id, worker.row.incarnation, bounds, now));
  out.starts.push_back(Start{errand.id, errand.legs, worker.row.id, worker.row.address, errand.lane->policy.answer,
                             errand.lane->policy.stall});
}

void Desk::sent(std::uint64_t id) {
  std::map<std::uint64_t, std::unique_ptr<Errand>>::iterator const spot = errands_.find(id);
  if (spot != errands_.end()) spot->second->left = true;
}

void Desk::began(std::uint64_t id) {
  std::map<std::uint64_t, std::unique_ptr<Errand>>::iterator const spot = errands_.find(id);
  if (spot != errands_.end()) spot->second->begun = true;
}

void Desk::release(Errand& errand, Micros now, bool good) {
  Worker* const worker = fleet_.find(errand.worker);
  if (worker != nullptr) {
    std::multiset<Micros>::iterator const leg = worker->legs.find(errand.leg_from);
    if (leg != worker->legs.end()) {
      // What it held is free again, though the next report may still count it.
      if (errand.leg_from < worker->reported && worker->demand > 0) --worker->demand;
      worker->legs.erase(leg);
    }
  }
  if (good) {
    double& seen = service_seen_.try_emplace(errand.pool, static_cast<double>(errand.rules->pool(errand.pool)->service))
                       .first->second;
    seen = seen * 0.95 + static_cast<double>(now - errand.leg_from) * 0.05;
  }
}

void Desk::ended(std::uint64_t id, LegEnd end, std::string const& why, Micros back, Micros now, DeskOut& out) {
  std::map<std::uint64_t, std::unique_ptr<Errand>>::iterator const spot = errands_.find(id);
  if (spot == errands_.end()) return;
  Errand& errand = *spot->second;
  release(errand, now, end == LegEnd::done);
  if (end == LegEnd::done) {
    ++tally.done;
    erase(errand);
    return;
  }
  // §7.3: what is known of whether this leg ran.
  Ran ran = Ran::unknown;
  Kind kind = Kind::worker_failed;
  switch (end) {
    case LegEnd::unreached:
      ran = Ran::no;
      kind = Kind::worker_unreached;
      break;
    case LegEnd::refused:
      ran = Ran::no;
      kind = Kind::worker_refused;
      break;
    case LegEnd::failed:
      kind = Kind::worker_failed;
      break;
    case LegEnd::broke:
      kind = Kind::worker_broke;
      break;
    case LegEnd::silent:
      kind = Kind::worker_silent;
      break;
    case LegEnd::wrong:
      kind = Kind::worker_wrong;
      break;
    case LegEnd::torn:
      ran = Ran::yes;
      kind = Kind::answer_torn;
      break;
    case LegEnd::done:
      break;
  }
  if (end == LegEnd::unreached && errand.left) {  // the executor cannot be sure after all
    ran = Ran::unknown;
    kind = Kind::worker_broke;
  }
  if (!guard(Guard::honest_ran) && ran == Ran::unknown) ran = Ran::no;
  errand.ran = std::max(errand.ran, ran);
  // §6.6: a broken wire may mean that the worker ended; it is asked before it gets anything more.
  Worker const* const worker = fleet_.find(errand.worker);
  if (worker != nullptr &&
      (end == LegEnd::unreached || end == LegEnd::broke || end == LegEnd::silent || end == LegEnd::torn) &&
      fleet_.suspect(errand.worker, errand.incarnation, now))
    out.suspects.emplace_back(errand.worker, errand.incarnation);
  log_event(Event::leg_failed, errand.worker + " " + kind_row(kind).name + " " + why);
  bool const may_repeat = errand.safe || !errand.left || !guard(Guard::never_repeat);
  bool const again = !errand.begun && may_repeat && !draining_ && errand.legs < errand.lane->policy.tries &&
                     now < errand.due + errand.lane->policy.answer && (bucket_ >= 1.0 || !guard(Guard::bucket));
  if (again) {
    Choice const choice = select(errand, 0, now, true);
    if (choice.say == Say::go) return go(errand, choice, now, out);
  }
  if (errand.begun) ++tally.broken;
  Fault fault{kind, why, ""};
  give_up(errand, std::move(fault), back, out);
}

void Desk::hung_up(std::uint64_t id, Micros now, DeskOut& out) {
  std::map<std::uint64_t, std::unique_ptr<Errand>>::iterator const spot = errands_.find(id);
  if (spot == errands_.end()) return;
  ++tally.hangups;
  Errand& errand = *spot->second;
  if (errand.legs > 0) {
    release(errand, now, false);
    out.drops.push_back(id);
  }
  erase(errand);
}

void Desk::work(Micros now, DeskOut& out) {
  std::size_t ahead = 0;
  int idle = 0;
  for (Backlog::iterator it = backlog_.begin(); it != backlog_.end();) {
    Errand& errand = *it++;
    if (now >= errand.due) {
      ++tally.late;
      give_up(errand, Fault{held_ ? Kind::not_ready : Kind::expired, "", ""}, 0, out);
      continue;
    }
    if (!open_) {
      give_up(errand, Fault{Kind::not_ready, "", ""}, 0, out);
      continue;
    }
    if (held_ || idle >= 64) {
      ++ahead;
      continue;
    }
    Choice const choice = select(errand, ahead, now);
    if (choice.say == Say::go) {
      learn_wait(errand, now - errand.came);
      go(errand, choice, now, out);
      continue;
    }
    if (!choice.ask.empty()) out.asks.push_back(choice.ask);
    ++idle;
    ++ahead;
    // §6.5: what has become hopeless is answered now, not when its time is up.
    if (choice.say == Say::never)
      give_up(errand, Fault{choice.kind, "", ""}, choice.wait, out);
    else if (now + std::max(likely(choice.wait), overdue(errand, now)) > errand.due) {
      learn_wait(errand, errand.lane->policy.wait);
      give_up(errand, Fault{Kind::crowded, "", ""}, std::clamp<Micros>(choice.wait, millis(500), seconds(10)), out);
    }
  }
}

}  // namespace pipit
