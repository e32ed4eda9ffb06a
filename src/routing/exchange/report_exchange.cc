#include "routing/exchange/report_exchange.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace pipit {

namespace {
constexpr Micros urgent_work_min = millis(40);  // that makes a report due at once
constexpr Micros loads_interval = millis(200);
constexpr Micros deltas_interval = millis(500);
constexpr std::size_t deltas_max = 4096;  // queued changes per index

// Parts of a link that reports may take: one in so many of its bytes.
constexpr std::uint64_t loads_link_part = 3;
constexpr std::uint64_t changes_link_part = 5;
// Approximate sizes of an encoded report, without its texts and lists.
constexpr std::size_t load_overhead = 28;
constexpr std::size_t change_overhead = 48;

std::size_t encoded_size(wire::DeltaT const& item) {
  return change_overhead + item.worker.size() + item.tail.size() * sizeof(std::uint64_t) +
         item.weights.size() * sizeof(std::uint32_t);
}

std::size_t encoded_size(std::vector<wire::DeltaT> const& list) {
  std::size_t out = 0;
  for (wire::DeltaT const& item : list) out += encoded_size(item);
  return out;
}

std::size_t encoded_size(std::map<std::string, std::vector<wire::DeltaT>> const& changes) {
  std::size_t out = 0;
  for (std::pair<std::string const, std::vector<wire::DeltaT>> const& item : changes) out += encoded_size(item.second);
  return out;
}

// The prompt tokens that a peer need not have read again when it knows of the change.
std::uint64_t tokens_of(wire::DeltaT const& item) {
  return std::accumulate(item.weights.begin(), item.weights.end(), std::uint64_t{0});
}

template <class Message>
std::size_t address_message(std::vector<std::string> names, Message message, std::size_t size,
                            std::vector<OutgoingMessage>& out) {
  if (message.list.empty() || names.empty()) return 0;
  std::size_t const bytes = size * names.size();
  OutgoingMessage item = message_to(names.back(), std::move(message));
  names.pop_back();
  item.also_to = std::move(names);
  out.push_back(std::move(item));
  return bytes;
}

// How far a message has come on the path through the hubs. Its receiver passes it on with a higher number only: the
// first kind to its zone and to one node of each other zone, the second to its zone, the third to nobody.
enum Hops : std::uint8_t { to_hub = 0, to_hubs = 1, last = 2 };
}  // namespace

void ReportExchange::report_work(std::string const& worker, Micros span) {
  LoadReport& report = own_reports_[worker];
  report.work += span;
  urgent_ = urgent_ || report.work >= urgent_work_min;
}

void ReportExchange::report_load(std::string const& worker, std::int64_t running) {
  own_reports_[worker].running = running;
}

void ReportExchange::report_suspect(std::string const& worker) {
  own_reports_[worker].suspected = true;
  urgent_ = true;
}

void ReportExchange::report_index_change(std::string const& index_name, wire::DeltaT item) {
  if (item.base == 0 && item.tail.empty()) return;
  ++index_changes.announced;
  queue_index_change(own_changes_[index_name], std::move(item));
}

void ReportExchange::queue_index_change(std::vector<wire::DeltaT>& list, wire::DeltaT item) {
  if (list.size() < deltas_max)
    list.push_back(std::move(item));
  else
    ++index_changes.dropped;
}

void ReportExchange::forward(std::string const& from, wire::LoadsT const& message) {
  if (message.hops == Hops::last) return;
  LoadReports& reports = message.hops == Hops::to_hub ? zone_reports_[from] : cross_zone_reports_;
  for (std::unique_ptr<wire::LoadT> const& item : message.list) {
    LoadReport& report = reports[item->worker];
    report.work += item->reading;
    if (item->attempts > 0) report.running = item->attempts;
    report.suspected = report.suspected || item->suspected;
  }
  urgent_ = true;
}

void ReportExchange::forward(wire::DeltasT const& message) {
  if (message.hops == Hops::last) return;
  bool const from_zone = message.hops == Hops::to_hub;
  (from_zone ? index_changes.from_zone : index_changes.from_hubs) += message.list.size();
  std::vector<wire::DeltaT>& list = (from_zone ? zone_changes_ : cross_zone_changes_)[message.model];
  for (std::unique_ptr<wire::DeltaT> const& item : message.list) queue_index_change(list, *item);
}

wire::LoadsT ReportExchange::loads_of(std::vector<LoadReports const*> const& parts, std::uint8_t hops) {
  LoadReports sum;
  for (LoadReports const* const part : parts)
    for (std::pair<std::string const, LoadReport> const& item : *part) {
      LoadReport& report = sum[item.first];
      report.work += item.second.work;
      report.running = std::max(report.running, item.second.running);
      report.suspected = report.suspected || item.second.suspected;
    }
  wire::LoadsT out;
  out.hops = hops;
  for (std::pair<std::string const, LoadReport> const& item : sum) {
    std::unique_ptr<wire::LoadT> load = std::make_unique<wire::LoadT>();
    load->worker = item.first;
    load->reading = static_cast<std::uint32_t>(item.second.work);
    load->attempts = static_cast<std::uint32_t>(std::max<std::int64_t>(0, item.second.running));
    load->suspected = item.second.suspected;
    out.list.push_back(std::move(load));
  }
  return out;
}

wire::DeltasT ReportExchange::deltas_of(IndexChanges::value_type const& changes, std::uint8_t hops) {
  wire::DeltasT out;
  out.model = changes.first;
  out.hops = hops;
  for (wire::DeltaT const& item : changes.second) out.list.push_back(std::make_unique<wire::DeltaT>(item));
  return out;
}

std::size_t ReportExchange::send_to(std::vector<std::string> names, wire::LoadsT message,
                                    std::vector<OutgoingMessage>& out) {
  std::size_t size = 0;
  for (std::unique_ptr<wire::LoadT> const& item : message.list) size += load_overhead + item->worker.size();
  return address_message(std::move(names), std::move(message), size, out);
}

std::size_t ReportExchange::send_to(std::vector<std::string> names, wire::DeltasT message,
                                    std::vector<OutgoingMessage>& out) {
  std::size_t size = 0;
  for (std::unique_ptr<wire::DeltaT> const& item : message.list) size += encoded_size(*item);
  return address_message(std::move(names), std::move(message), size, out);
}

void ReportExchange::set_link(std::uint64_t bytes_per_second) {
  loads_budget_.set_rate(bytes_per_second / loads_link_part);
  changes_budget_.set_rate(bytes_per_second / changes_link_part);
}

void ReportExchange::tick(Micros now, GossipPaths const& paths, std::vector<OutgoingMessage>& out) {
  bool const any_loads = !own_reports_.empty() || !zone_reports_.empty() || !cross_zone_reports_.empty();
  bool const room = !paths.hierarchical || loads_budget_.available(now);
  if (any_loads && room && (urgent_ || now >= next_loads_)) {
    urgent_ = false;
    next_loads_ = now + loads_interval;
    send_loads(paths, now, out);
  }
  bool const any_changes = !own_changes_.empty() || !zone_changes_.empty() || !cross_zone_changes_.empty();
  if (any_changes && now >= next_deltas_) {
    next_deltas_ = now + deltas_interval;
    send_index_changes(paths, out);
  }
}

void ReportExchange::send_loads(GossipPaths const& paths, Micros now, std::vector<OutgoingMessage>& out) {
  LoadReports const own = std::exchange(own_reports_, {});
  ZoneReports zone = std::exchange(zone_reports_, {});
  LoadReports const cross_zone = std::exchange(cross_zone_reports_, {});
  std::size_t bytes = 0;
  if (paths.hierarchical && !paths.is_hub && !paths.zone_hub.empty())
    bytes += send_to({paths.zone_hub}, loads_of({&own}, Hops::to_hub), out);
  if (!paths.hierarchical || paths.is_hub) zone[self_] = own;
  std::vector<LoadReports const*> of_zone;
  for (ZoneReports::value_type const& item : zone) of_zone.push_back(&item.second);
  if (!paths.hierarchical) {
    send_to(paths.peers, loads_of(of_zone, Hops::last), out);
    return;
  }
  bytes += send_loads_to_zone(paths, zone, cross_zone, out);
  bytes += send_to(paths.remote_hubs, loads_of(of_zone, Hops::to_hubs), out);
  loads_budget_.spend(bytes, now);
}

// A node is not sent its own reports back: it would count them twice.
std::size_t ReportExchange::send_loads_to_zone(GossipPaths const& paths, ZoneReports const& zone,
                                               LoadReports const& cross_zone, std::vector<OutgoingMessage>& out) {
  std::size_t bytes = 0;
  std::vector<std::string> without_reports;
  for (std::string const& name : paths.served_peers) {
    if (zone.count(name) == 0) {
      without_reports.push_back(name);
      continue;
    }
    std::vector<LoadReports const*> parts{&cross_zone};
    for (ZoneReports::value_type const& item : zone)
      if (item.first != name) parts.push_back(&item.second);
    bytes += send_to({name}, loads_of(parts, Hops::last), out);
  }
  std::vector<LoadReports const*> parts{&cross_zone};
  for (ZoneReports::value_type const& item : zone) parts.push_back(&item.second);
  return bytes + send_to(std::move(without_reports), loads_of(parts, Hops::last), out);
}

void ReportExchange::send_index_changes(GossipPaths const& paths, std::vector<OutgoingMessage>& out) {
  IndexChanges const own = std::exchange(own_changes_, {});
  IndexChanges zone = std::exchange(zone_changes_, {});
  IndexChanges cross_zone = std::exchange(cross_zone_changes_, {});
  bool const passes_own_on = !paths.hierarchical || paths.is_hub;
  for (IndexChanges::value_type const& changes : own) {
    if (passes_own_on)
      zone[changes.first].insert(zone[changes.first].end(), changes.second.begin(), changes.second.end());
    else if (!paths.zone_hub.empty())
      send_to({paths.zone_hub}, deltas_of(changes, Hops::to_hub), out);
  }
  for (IndexChanges::value_type const& changes : cross_zone)
    if (!passes_own_on) index_changes.from_hubs_at_other += changes.second.size();
  if (paths.hierarchical && changes_budget_.limited()) limit_index_changes(paths, zone, cross_zone);
  for (IndexChanges::value_type const& changes : zone) {
    send_to(paths.hierarchical ? paths.served_peers : paths.peers, deltas_of(changes, Hops::last), out);
    send_to(paths.remote_hubs, deltas_of(changes, Hops::to_hubs), out);
  }
  for (IndexChanges::value_type const& changes : cross_zone)
    send_to(paths.served_peers, deltas_of(changes, Hops::last), out);
}

void ReportExchange::limit_index_changes(GossipPaths const& paths, IndexChanges& zone, IndexChanges& cross_zone) {
  std::size_t const zone_receivers = paths.served_peers.size() + paths.remote_hubs.size();
  std::size_t const cross_zone_receivers = paths.served_peers.size();
  std::size_t const zone_bytes = encoded_size(zone);
  std::size_t const cross_zone_bytes = encoded_size(cross_zone);
  std::size_t const due = zone_bytes * zone_receivers + cross_zone_bytes * cross_zone_receivers;
  std::size_t const allowed = changes_budget_.allowance(deltas_interval);
  if (due <= allowed) return;
  double const part = static_cast<double>(allowed) / static_cast<double>(due);
  for (IndexChanges* const changes : {&zone, &cross_zone})
    for (IndexChanges::value_type& item : *changes) keep_heaviest(item.second, part);
}

void ReportExchange::keep_heaviest(std::vector<wire::DeltaT>& changes, double part) {
  std::stable_sort(changes.begin(), changes.end(),
                   [](wire::DeltaT const& a, wire::DeltaT const& b) { return tokens_of(a) > tokens_of(b); });
  double room = part * static_cast<double>(encoded_size(changes));
  std::size_t kept = 0;
  while (kept < changes.size()) {
    room -= static_cast<double>(encoded_size(changes[kept]));
    if (room < 0) break;
    ++kept;
  }
  index_changes.dropped += changes.size() - kept;
  changes.resize(kept);
}

}  // namespace pipit
