#include "base/fault_points.h"

#include <atomic>
#include <map>
#include <mutex>

#include "base/events.h"

namespace pipit {

namespace {
FaultRow const rows[] = {
#define FAULT(number, name, text) {number, #name, text},
    PIPIT_FAULTS(FAULT)
#undef FAULT
};
struct Armed {
  std::string arg;
  std::uint64_t left = 0;
  bool endless = false;
  bool on = false;
  std::uint64_t fired = 0;
};
std::mutex gate;
std::map<unsigned, Armed> table;
std::atomic<bool> any{false};

bool fire(FaultPoint point, std::string const* name) {
  if (!any.load(std::memory_order_relaxed)) return false;
  std::lock_guard<std::mutex> const hold(gate);
  std::map<unsigned, Armed>::iterator const position = table.find(static_cast<unsigned>(point));
  if (position == table.end() || !position->second.on) return false;
  Armed& item = position->second;
  if (name != nullptr && (("," + item.arg + ",").find("," + *name + ",") == std::string::npos)) return false;
  if (!item.endless && --item.left == 0) item.on = false;
  ++item.fired;
  if (item.fired == 1) log_event(Event::fault_fired, std::to_string(position->first));
  return true;
}
}  // namespace

FaultRow const* fault_rows(std::size_t& count) {
  count = std::size(rows);
  return rows;
}

bool arm_fault(unsigned number, std::string const& arg, std::uint64_t times) {
  for (FaultRow const& row : rows) {
    if (row.number != number) continue;
    std::lock_guard<std::mutex> const hold(gate);
    Armed& item = table[number];
    item = Armed{arg, times, times == 0, true, 0};
    any = true;
    log_event(Event::fault_armed, std::to_string(number) + " " + arg);
    return true;
  }
  return false;
}

bool disarm_fault(unsigned number) {
  std::lock_guard<std::mutex> const hold(gate);
  std::map<unsigned, Armed>::iterator const position = table.find(number);
  if (position == table.end()) return false;
  position->second.on = false;
  return true;
}

bool fires(FaultPoint point) { return fire(point, nullptr); }
bool fires_for(FaultPoint point, std::string const& name) { return fire(point, &name); }

std::string fault_arg(FaultPoint point) {
  std::lock_guard<std::mutex> const hold(gate);
  std::map<unsigned, Armed>::const_iterator const position = table.find(static_cast<unsigned>(point));
  return position == table.end() ? "" : position->second.arg;
}

std::uint64_t fault_count(FaultPoint point) {
  std::lock_guard<std::mutex> const hold(gate);
  std::map<unsigned, Armed>::const_iterator const position = table.find(static_cast<unsigned>(point));
  return position == table.end() ? 0 : position->second.fired;
}

}  // namespace pipit
