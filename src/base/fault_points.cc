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
struct ArmedFault {
  std::string arg;
  std::uint64_t times_left = 0;
  bool unlimited = false;
  bool armed = false;
  std::uint64_t fired = 0;
};
std::mutex table_mutex;
std::map<unsigned, ArmedFault> table;  // by number; guarded by table_mutex
std::atomic<bool> any_armed{false};  // set by the first arming and never reset; keeps the product from taking the lock

// Fires the point if it is armed and, unless 'name' is null, its argument lists the name.
bool fire(FaultPoint point, std::string const* name) {
  if (!any_armed.load(std::memory_order_relaxed)) return false;
  std::lock_guard<std::mutex> const lock(table_mutex);
  std::map<unsigned, ArmedFault>::iterator const position = table.find(static_cast<unsigned>(point));
  if (position == table.end() || !position->second.armed) return false;
  ArmedFault& item = position->second;
  if (name != nullptr && (("," + item.arg + ",").find("," + *name + ",") == std::string::npos)) return false;
  if (!item.unlimited && --item.times_left == 0) item.armed = false;
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
    std::lock_guard<std::mutex> const lock(table_mutex);
    ArmedFault& item = table[number];
    item = ArmedFault{arg, times, times == 0, true, 0};
    any_armed = true;
    log_event(Event::fault_armed, std::to_string(number) + " " + arg);
    return true;
  }
  return false;
}

bool disarm_fault(unsigned number) {
  std::lock_guard<std::mutex> const lock(table_mutex);
  std::map<unsigned, ArmedFault>::iterator const position = table.find(number);
  if (position == table.end()) return false;
  position->second.armed = false;
  return true;
}

bool fault_fires(FaultPoint point) { return fire(point, nullptr); }
bool fault_fires_for(FaultPoint point, std::string const& name) { return fire(point, &name); }

std::string fault_arg(FaultPoint point) {
  std::lock_guard<std::mutex> const lock(table_mutex);
  std::map<unsigned, ArmedFault>::const_iterator const position = table.find(static_cast<unsigned>(point));
  return position == table.end() ? "" : position->second.arg;
}

std::uint64_t fault_count(FaultPoint point) {
  std::lock_guard<std::mutex> const lock(table_mutex);
  std::map<unsigned, ArmedFault>::const_iterator const position = table.find(static_cast<unsigned>(point));
  return position == table.end() ? 0 : position->second.fired;
}

}  // namespace pipit
