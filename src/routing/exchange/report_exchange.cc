#include "routing/exchange/report_exchange.h"

#include <algorithm>

namespace pipit {

namespace {
constexpr Micros urgent_work_min = millis(40);  // that makes a report due at once
constexpr Micros loads_interval = millis(200);
constexpr Micros deltas_interval = millis(500);
constexpr std::size_t deltas_max = 4096;  // queued changes per index

// Which hop of the path through the hubs a message is on; a message on the last hop is not forwarded.
enum Hops : std::uint8_t { to_hub = 0, to_hubs = 1, last = 2 };
}  // namespace

void ReportExchange::report_work(std::string const& worker, Micros span) {
  LoadReport& report = own_report(worker);
  report.work += span;
  urgent_ = urgent_ || report.work >= urgent_work_min;
}

void ReportExchange::report_load(std::string const& worker, std::int64_t running) {
  own_report(worker).running = running;
}

void ReportExchange::report_suspect(std::string const& worker) {
  own_report(worker).suspected = true;
  urgent_ = true;
}

void ReportExchange::report_index_change(std::string const& index_name, wire::DeltaT item) {
  if (item.base == 0 && item.tail.empty()) return;
  ++index_changes.announced;
  queue_index_change(deltas_[index_name], std::move(item));
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
  std::vector<wire::DeltaT>& list = (from_zone ? deltas_ : cross_zone_deltas_)[message.model];
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

void ReportExchange::tick(Micros now, GossipPaths const& paths, std::vector<OutgoingMessage>& out) {
  bool const any = !zone_reports_.empty() || !cross_zone_reports_.empty();
  if (any && (urgent_ || now >= next_loads_)) {
    urgent_ = false;
    next_loads_ = now + loads_interval;
    std::vector<LoadReports const*> zone;
    for (std::pair<std::string const, LoadReports> const& item : zone_reports_) zone.push_back(&item.second);
    if (!paths.hierarchical) {
      wire::LoadsT const message = loads_of(zone, Hops::last);
      for (std::string const& name : paths.peers) out.push_back(message_to(name, wire::LoadsT(message)));
    } else if (!paths.is_hub) {
      if (!paths.zone_hub.empty()) out.push_back(message_to(paths.zone_hub, loads_of(zone, Hops::to_hub)));
    } else {
      // A node is not sent its own reports back: it would count them twice.
      for (std::string const& name : paths.zone_peers) {
        std::vector<LoadReports const*> parts{&cross_zone_reports_};
        for (std::pair<std::string const, LoadReports> const& item : zone_reports_)
          if (item.first != name) parts.push_back(&item.second);
        wire::LoadsT message = loads_of(parts, Hops::last);
        if (!message.list.empty()) out.push_back(message_to(name, std::move(message)));
      }
      if (!zone.empty()) {
        wire::LoadsT const message = loads_of(zone, Hops::to_hubs);
        for (std::string const& name : paths.remote_hubs) out.push_back(message_to(name, wire::LoadsT(message)));
      }
    }
    zone_reports_.clear();
    cross_zone_reports_.clear();
  }
  if (now < next_deltas_ || (deltas_.empty() && cross_zone_deltas_.empty())) return;
  next_deltas_ = now + deltas_interval;
  std::map<std::string, std::vector<wire::DeltaT>> const zone_list = std::move(deltas_);
  std::map<std::string, std::vector<wire::DeltaT>> const cross_zone_list = std::move(cross_zone_deltas_);
  deltas_.clear();
  cross_zone_deltas_.clear();
  if (paths.hierarchical && !paths.is_hub)
    for (std::pair<std::string const, std::vector<wire::DeltaT>> const& index : cross_zone_list)
      index_changes.from_hubs_at_other += index.second.size();
  for (bool const cross_zone : {false, true})
    for (std::pair<std::string const, std::vector<wire::DeltaT>> const& index :
         cross_zone ? cross_zone_list : zone_list) {
      wire::DeltasT message;
      message.model = index.first;
      for (wire::DeltaT const& item : index.second) message.list.push_back(std::make_unique<wire::DeltaT>(item));
      message.hops = Hops::last;
      std::vector<std::string> names = paths.peers;
      if (paths.hierarchical && !paths.is_hub) {
        message.hops = Hops::to_hub;
        names.clear();
        if (!paths.zone_hub.empty()) names.push_back(paths.zone_hub);
      } else if (paths.hierarchical) {
        names = paths.zone_peers;
      }
      for (std::string const& name : names) out.push_back(message_to(name, wire::DeltasT(message)));
      if (!paths.hierarchical || !paths.is_hub || cross_zone) continue;
      message.hops = Hops::to_hubs;
      for (std::string const& name : paths.remote_hubs) out.push_back(message_to(name, wire::DeltasT(message)));
    }
}

}  // namespace pipit
