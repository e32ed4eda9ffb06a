#include "node/catch_up.h"

#include <algorithm>

#include "base/hash.h"
#include "node/peer_selection.h"

namespace pipit {

namespace {
constexpr std::size_t early_limit = 16;  // patches
constexpr Micros stuck_after = millis(100);
constexpr Micros answer_within = seconds(1);  // the first question; each further one gets as much more
constexpr int patience_limit = 4;

std::uint64_t base_of(wire::ChosenT const& update) { return update.patch->base_revision; }
}  // namespace

void CatchUp::keep(std::string const& from, wire::ChosenT const& update, Micros now) {
  if (!update.patch) return;
  if (early_.size() >= early_limit) early_.pop_front();
  early_.push_back(EarlyPatch{from, update, now});
}

std::optional<CatchUp::EarlyPatch> CatchUp::take_next(std::uint64_t held_revision) {
  std::deque<EarlyPatch>::iterator const position =
      std::find_if(early_.begin(), early_.end(),
                   [held_revision](EarlyPatch const& item) { return base_of(item.update) <= held_revision; });
  if (position == early_.end()) return std::nullopt;
  EarlyPatch out = std::move(*position);
  early_.erase(position);
  return out;
}

bool CatchUp::is_stuck(Micros now) const {
  return std::any_of(early_.begin(), early_.end(),
                     [now](EarlyPatch const& item) { return now - item.came_at >= stuck_after; });
}

// Replicas come first, those of this zone before others: they have the links for it and are told of every change. Of
// several each node asks another one.
std::vector<std::string> CatchUp::candidates(std::uint64_t held_revision) const {
  std::vector<std::string> classes[3];
  for (std::pair<std::string const, Peer> const& item : mesh_.members.peers) {
    wire::MemberT const& member = item.second.member;
    if (!is_reachable(item.second) || member.revision <= held_revision) continue;
    std::size_t const rank = !member.replica ? 2 : member.zone == zone_ ? 0 : 1;
    classes[rank].push_back(item.first);
  }
  std::vector<std::string> out;
  for (std::vector<std::string>& names : classes) {
    std::sort(names.begin(), names.end(), [this](std::string const& a, std::string const& b) {
      return hash_text(self_, hash_text(a)) > hash_text(self_, hash_text(b));
    });
    out.insert(out.end(), names.begin(), names.end());
  }
  return out;
}

std::string CatchUp::next_peer(std::uint64_t held_revision, Micros now) {
  Micros const patience = answer_within * std::min(unanswered_ + 1, patience_limit);
  if (asked_at_ >= 0 && now - asked_at_ < patience) return "";
  if (asked_at_ >= 0) ++unanswered_;
  asked_at_ = -1;
  std::vector<std::string> const names = candidates(held_revision);
  // Who was asked in vain is not asked first again.
  std::string out = names.empty() ? "" : names[static_cast<std::size_t>(unanswered_) % names.size()];
  if (out.empty() && !early_.empty()) {
    EarlyPatch const& newest = early_.back();
    std::string const& origin = newest.update.origin.empty() ? newest.from : newest.update.origin;
    if (is_reachable(mesh_, origin)) out = origin;
  }
  if (!out.empty()) asked_at_ = now;
  return out;
}

void CatchUp::value_came() {
  asked_at_ = -1;
  unanswered_ = 0;
}

}  // namespace pipit
