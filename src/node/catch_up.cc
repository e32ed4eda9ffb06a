#include "node/catch_up.h"

#include <algorithm>

#include "base/hash.h"
#include "node/peer_selection.h"

namespace pipit {

namespace {
constexpr std::size_t max_early_patches = 16;
constexpr Micros stuck_timeout = millis(100);
constexpr Micros answer_timeout = seconds(1);  // of the first request; each unanswered one adds as much
constexpr int max_timeout_multiplier = 4;

std::uint64_t base_revision_of(wire::ChosenT const& update) { return update.patch->base_revision; }
}  // namespace

void CatchUp::buffer_patch(std::string const& from, wire::ChosenT const& update, Micros now) {
  if (!update.patch) return;
  if (early_patches_.size() >= max_early_patches) early_patches_.pop_front();
  early_patches_.push_back(EarlyPatch{from, update, now});
}

std::optional<CatchUp::EarlyPatch> CatchUp::take_applicable_patch(std::uint64_t held_revision) {
  std::deque<EarlyPatch>::iterator const position =
      std::find_if(early_patches_.begin(), early_patches_.end(),
                   [held_revision](EarlyPatch const& item) { return base_revision_of(item.update) <= held_revision; });
  if (position == early_patches_.end()) return std::nullopt;
  EarlyPatch out = std::move(*position);
  early_patches_.erase(position);
  return out;
}

bool CatchUp::is_stuck(Micros now) const {
  return std::any_of(early_patches_.begin(), early_patches_.end(),
                     [now](EarlyPatch const& item) { return now - item.received_at >= stuck_timeout; });
}

// Peers with a newer value, in order of preference. Replicas come first, those of this zone before others: they have
// the bandwidth and are sent every change. Within a class the order differs from node to node, to spread the requests.
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

std::string CatchUp::select_peer(std::uint64_t held_revision, Micros now) {
  Micros const timeout = answer_timeout * std::min(unanswered_ + 1, max_timeout_multiplier);
  if (requested_at_ >= 0 && now - requested_at_ < timeout) return "";
  if (requested_at_ >= 0) ++unanswered_;
  requested_at_ = -1;
  std::vector<std::string> const names = candidates(held_revision);
  // After an unanswered request the next candidate is selected.
  std::string out = names.empty() ? "" : names[static_cast<std::size_t>(unanswered_) % names.size()];
  if (out.empty() && !early_patches_.empty()) {
    EarlyPatch const& newest = early_patches_.back();
    std::string const& origin = newest.update.origin.empty() ? newest.from : newest.update.origin;
    if (is_reachable(mesh_, origin)) out = origin;
  }
  if (!out.empty()) requested_at_ = now;
  return out;
}

void CatchUp::value_adopted() {
  requested_at_ = -1;
  unanswered_ = 0;
}

}  // namespace pipit
