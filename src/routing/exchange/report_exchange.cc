#include "routing/exchange/report_exchange.h"

#include <algorithm>
#include <utility>

namespace pipit {

namespace {
constexpr Micros urgent_work_min = millis(40);  // that makes a report due at once
constexpr Micros loads_interval = millis(200);
constexpr Micros deltas_interval = millis(500);
constexpr std::size_t deltas_max = 4096;  // queued changes per index

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

template <class Message>
void ReportExchange::send_to(std::vector<std::string> const& names, Message const& message,
                             std::vector<OutgoingMessage>& out) {
  if (message.list.empty()) return;
  for (std::string const& name : names) out.push_back(message_to(name, Message(message)));
}

void ReportExchange::tick(Micros now, GossipPaths const& paths, std::vector<OutgoingMessage>& out) {
  bool const any_loads = !own_reports_.empty() || !zone_reports_.empty() || !cross_zone_reports_.empty();
  if (any_loads && (urgent_ || now >= next_loads_)) {
    urgent_ = false;
    next_loads_ = now + loads_interval;
    send_loads(paths, out);
  }
  bool const any_changes = !own_changes_.empty() || !zone_changes_.empty() || !cross_zone_changes_.empty();
  if (any_changes && now >= next_deltas_) {
    next_deltas_ = now + deltas_interval;
    send_index_changes(paths, out);
  }
}

void ReportExchange::send_loads(GossipPaths const& paths, std::vector<OutgoingMessage>& out) {
  LoadReports const own = std::exchange(own_reports_, {});
  ZoneReports zone = std::exchange(zone_reports_, {});
  LoadReports const cross_zone = std::exchange(cross_zone_reports_, {});
  if (paths.hierarchical && !paths.is_hub && !paths.zone_hub.empty())
    send_to({paths.zone_hub}, loads_of({&own}, Hops::to_hub), out);
  if (!paths.hierarchical || paths.is_hub) zone[self_] = own;
  std::vector<LoadReports const*> of_zone;
  for (ZoneReports::value_type const& item : zone) of_zone.push_back(&item.second);
  if (!paths.hierarchical) return send_to(paths.peers, loads_of(of_zone, Hops::last), out);
  // A node is not sent its own reports back: it would count them twice.
  for (std::string const& name : paths.served_peers) {
    std::vector<LoadReports const*> parts{&cross_zone};
    for (ZoneReports::value_type const& item : zone)
      if (item.first != name) parts.push_back(&item.second);
    send_to({name}, loads_of(parts, Hops::last), out);
  }
  send_to(paths.remote_hubs, loads_of(of_zone, Hops::to_hubs), out);
}

void ReportExchange::send_index_changes(GossipPaths const& paths, std::vector<OutgoingMessage>& out) {
  IndexChanges const own = std::exchange(own_changes_, {});
  IndexChanges zone = std::exchange(zone_changes_, {});
  IndexChanges const cross_zone = std::exchange(cross_zone_changes_, {});
  bool const passes_own_on = !paths.hierarchical || paths.is_hub;
  for (IndexChanges::value_type const& changes : own) {
    if (passes_own_on)
      zone[changes.first].insert(zone[changes.first].end(), changes.second.begin(), changes.second.end());
    else if (!paths.zone_hub.empty())
      send_to({paths.zone_hub}, deltas_of(changes, Hops::to_hub), out);
  }
  for (IndexChanges::value_type const& changes : zone) {
    send_to(paths.hierarchical ? paths.served_peers : paths.peers, deltas_of(changes, Hops::last), out);
    send_to(paths.remote_hubs, deltas_of(changes, Hops::to_hubs), out);
  }
  for (IndexChanges::value_type const& changes : cross_zone) {
    if (!passes_own_on) index_changes.from_hubs_at_other += changes.second.size();
    send_to(paths.served_peers, deltas_of(changes, Hops::last), out);
  }
}

}  // namespace pipit
