// Workers number their calls by their clock. The last heartbeat of a worker comes some seconds late, after its farewell
// was acknowledged. The worker must get no requests any more.
#include "../standins/farewell.h"

using namespace review;

namespace {
constexpr std::int64_t late_ms = 2500;  // the heartbeat comes as long after the acknowledgement
constexpr std::int64_t serve_on_ms = 12000;
}  // namespace

int main(int, char** arguments) {
  begin(arguments[1], 115);
  Farewell farewell(true);
  farewell.start();
  // The next heartbeat, at its usual time; then the farewell.
  sleep_ms(1200);
  std::string const late_heartbeat = farewell.make_heartbeat();
  if (!with_trouble()) farewell.worker().announce(late_heartbeat, "a heartbeat in time", 1000);
  sleep_ms(100);
  farewell.say();
  sleep_until(farewell.acknowledged_at + late_ms);
  if (with_trouble()) farewell.worker().announce(late_heartbeat, "a late heartbeat", 1000);
  sleep_until(farewell.acknowledged_at + serve_on_ms);
  farewell.judge();
}
