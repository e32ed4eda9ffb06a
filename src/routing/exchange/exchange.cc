#include "routing/exchange/exchange.h"

#include <algorithm>

namespace pipit {

namespace {
constexpr Micros urgent_least = millis(40);  // a worker that is busy for longer is told of at once
constexpr Micros words_gap = millis(200);
constexpr Micros deltas_gap = millis(500);
constexpr std::size_t deltas_most = 4096;

enum Hops : std::uint8_t { to_hub = 0, to_hubs = 1, last = 2 };
}  // namespace

void Exchange::work(std::string const& worker, Micros span) {
  Word& word = own(worker);
  word.work += span;
  urgent_ = urgent_ || word.work >= urgent_least;
}

void Exchange::load(std::string const& worker, std::int64_t running) { own(worker).running = running; }

void Exchange::suspect(std::string const& worker) {
  own(worker).suspected = true;
  urgent_ = true;
}

void Exchange::delta(std::string const& tree, wire::DeltaT item) {
  if (item.base == 0 && item.tail.empty()) return;
  std::vector<wire::DeltaT>& list = deltas_[tree];
  if (list.size() < deltas_most) list.push_back(std::move(item));
}

void Exchange::pass(std::string const& from, wire::LoadsT const& said) {
  if (said.hops == Hops::last) return;
  Words& into = said.hops == Hops::to_hub ? words_[from] : far_;
  for (std::unique_ptr<wire::LoadT> const& item : said.list) {
    Word& word = into[item->worker];
    word.work += item->reading;
    if (item->attempts > 0) word.running = item->attempts;
    word.suspected = word.suspected || item->suspected;
  }
  urgent_ = true;
}

void Exchange::pass(wire::DeltasT const& said) {
  if (said.hops == Hops::last) return;
  std::vector<wire::DeltaT>& list = (said.hops == Hops::to_hub ? deltas_ : far_deltas_)[said.model];
  for (std::unique_ptr<wire::DeltaT> const& item : said.list)
    if (list.size() < deltas_most) list.push_back(*item);
}

wire::LoadsT Exchange::loads_of(std::vector<Words const*> const& parts, std::uint8_t hops) {
  Words sum;
  for (Words const* const part : parts)
    for (std::pair<std::string const, Word> const& item : *part) {
      Word& word = sum[item.first];
      word.work += item.second.work;
      word.running = std::max(word.running, item.second.running);
      word.suspected = word.suspected || item.second.suspected;
    }
  wire::LoadsT out;
  out.hops = hops;
  for (std::pair<std::string const, Word> const& item : sum) {
    std::unique_ptr<wire::LoadT> load = std::make_unique<wire::LoadT>();
    load->worker = item.first;
    load->reading = static_cast<std::uint32_t>(item.second.work);
    load->attempts = static_cast<std::uint32_t>(std::max<std::int64_t>(0, item.second.running));
    load->suspected = item.second.suspected;
    out.list.push_back(std::move(load));
  }
  return out;
}

void Exchange::tick(Micros now, Paths const& paths, std::vector<OutgoingMessage>& out) {
  bool const any = !words_.empty() || !far_.empty();
  if (any && (urgent_ || now >= next_words_)) {
    urgent_ = false;
    next_words_ = now + words_gap;
    std::vector<Words const*> zone;
    for (std::pair<std::string const, Words> const& item : words_) zone.push_back(&item.second);
    if (!paths.wide) {
      wire::LoadsT const said = loads_of(zone, Hops::last);
      for (std::string const& name : paths.all) out.push_back(message_to(name, wire::LoadsT(said)));
    } else if (!paths.hub) {
      if (!paths.own_hub.empty()) out.push_back(message_to(paths.own_hub, loads_of(zone, Hops::to_hub)));
    } else {
      // Nobody is told its own words again: they would count twice.
      for (std::string const& name : paths.zone) {
        std::vector<Words const*> parts{&far_};
        for (std::pair<std::string const, Words> const& item : words_)
          if (item.first != name) parts.push_back(&item.second);
        wire::LoadsT said = loads_of(parts, Hops::last);
        if (!said.list.empty()) out.push_back(message_to(name, std::move(said)));
      }
      if (!zone.empty()) {
        wire::LoadsT const said = loads_of(zone, Hops::to_hubs);
        for (std::string const& name : paths.hubs) out.push_back(message_to(name, wire::LoadsT(said)));
      }
    }
    words_.clear();
    far_.clear();
  }
  if (now < next_deltas_ || (deltas_.empty() && far_deltas_.empty())) return;
  next_deltas_ = now + deltas_gap;
  std::map<std::string, std::vector<wire::DeltaT>> const own_list = std::move(deltas_);
  std::map<std::string, std::vector<wire::DeltaT>> const far_list = std::move(far_deltas_);
  deltas_.clear();
  far_deltas_.clear();
  for (int side = 0; side < 2; ++side)
    for (std::pair<std::string const, std::vector<wire::DeltaT>> const& tree : side == 0 ? own_list : far_list) {
      wire::DeltasT said;
      said.model = tree.first;
      for (wire::DeltaT const& item : tree.second) said.list.push_back(std::make_unique<wire::DeltaT>(item));
      said.hops = Hops::last;
      std::vector<std::string> names = paths.all;
      if (paths.wide && !paths.hub) {
        said.hops = Hops::to_hub;
        names.clear();
        if (!paths.own_hub.empty()) names.push_back(paths.own_hub);
      } else if (paths.wide) {
        names = paths.zone;
      }
      for (std::string const& name : names) out.push_back(message_to(name, wire::DeltasT(said)));
      if (!paths.wide || !paths.hub || side == 1) continue;
      said.hops = Hops::to_hubs;
      for (std::string const& name : paths.hubs) out.push_back(message_to(name, wire::DeltasT(said)));
    }
}

}  // namespace pipit
