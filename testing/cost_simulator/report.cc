// The figures of a run: what each phase cost a node, how soon failures were seen and changes were everywhere (§10.5).
#include <malloc.h>

#include <algorithm>

#include "testing/cost_simulator/machine.h"
#include "testing/cost_simulator/scale.h"

namespace pipit {

namespace {

// Bytes that the heap has given out.
std::int64_t heap() {
  struct mallinfo2 const info = mallinfo2();
  return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

// The value below which a part of the list lies, in milliseconds; -1 for an empty list.
double share(std::vector<Micros> list, double part) {
  if (list.empty()) return -1;
  std::sort(list.begin(), list.end());
  std::size_t const position = static_cast<std::size_t>(part * static_cast<double>(list.size() - 1) + 0.5);
  return static_cast<double>(list[position]) / 1000;
}

}  // namespace

double Figures::of(std::string const& name) const {
  for (std::pair<std::string, double> const& row : rows)
    if (row.first == name) return row.second;
  return -1;
}

void Scale::tell_phase(std::string const& name, Phase const& item, Figures& out) const {
  double const span = static_cast<double>(item.to - item.from) / 1e6;
  static char const* const steps[] = {"tick", "list", "vitals", "errand", "wire", "operate"};
  for (MemberRole const role : {MemberRole::router, MemberRole::config_store}) {
    int const n = role == MemberRole::config_store ? plan.replicas : plan.nodes - plan.replicas;
    double const per = span * n;
    if (per <= 0) continue;
    std::string const head = name + "." + (role == MemberRole::config_store ? "keeper" : "router") + ".";
    Count const& count = item.count[static_cast<std::size_t>(role)];
    double frames_in = 0, frames_out = 0, bytes_in = 0, bytes_out = 0, nanos = 0;
    for (std::size_t i = 0; i < kinds; ++i) {
      frames_in += static_cast<double>(count.frames_in[i]);
      frames_out += static_cast<double>(count.frames_out[i]);
      bytes_in += static_cast<double>(count.bytes_in[i]);
      bytes_out += static_cast<double>(count.bytes_out[i]);
    }
    for (std::int64_t const v : count.nanos) nanos += static_cast<double>(v);
    out.add(head + "cpu_us", nanos / 1000 / per);
    out.add(head + "frames_in", frames_in / per);
    out.add(head + "frames_out", frames_out / per);
    out.add(head + "bytes_in", bytes_in / per);
    out.add(head + "bytes_out", bytes_out / per);
    for (std::size_t i = 0; i < static_cast<std::size_t>(Step::count); ++i)
      if (i != static_cast<std::size_t>(Step::connection) && count.nanos[i] > 0)
        out.add(head + "cpu_us." + steps[i], static_cast<double>(count.nanos[i]) / 1000 / per);
    for (std::size_t i = 0; i < kinds; ++i) {
      if (count.frames_in[i] == 0 && count.frames_out[i] == 0) continue;
      std::string const kind = wire::EnumNameBody(static_cast<wire::Body>(i));
      out.add(head + "frames_out." + kind, static_cast<double>(count.frames_out[i]) / per);
      out.add(head + "bytes_out." + kind, static_cast<double>(count.bytes_out[i]) / per);
      out.add(head + "bytes_in." + kind, static_cast<double>(count.bytes_in[i]) / per);
      out.add(head + "cpu_us.in." + kind, static_cast<double>(count.nanos_in[i]) / 1000 / per);
    }
    if (role == MemberRole::router) out.add(head + "vitals_asked", static_cast<double>(count.checks) / per);
    if (count.dials > 0) out.add(head + "dials", static_cast<double>(count.dials) / per);
  }
  out.add(name + ".seconds", span);
}

void Scale::finish(Figures& out) {
  if (phase != nullptr) phase->to = now;
  phase = nullptr;
  for (std::pair<std::string, Phase> const& item : phases) tell_phase(item.first, item.second, out);
  for (int silent = 0; silent < 2; ++silent) {
    if (detected[silent].empty()) continue;
    std::string const head = silent == 1 ? "detect.silent_ms." : "detect.ended_ms.";
    out.add(head + "p50", share(detected[silent], 0.5));
    out.add(head + "max", share(detected[silent], 1));
  }
  for (Kill const& kill : kills) missed += kill.pending.size();
  if (!kills.empty()) out.add("detect.missed", static_cast<double>(missed));
  out.add("false_suspicions", static_cast<double>(suspicions));
  if (!everywhere_after.empty()) {
    out.add("change.yes_ms.p50", share(yes_after, 0.5));
    out.add("change.everywhere_ms.p50", share(everywhere_after, 0.5));
    out.add("change.everywhere_ms.max", share(everywhere_after, 1));
  }
  out.add("requests", static_cast<double>(asked));
  for (std::pair<std::string const, std::uint64_t> const& item : refused)
    out.add("requests." + item.first, static_cast<double>(item.second));
  // What a node holds is what the heap is less by when the node is gone.
  events = {};
  for (MemberRole const role : {MemberRole::router, MemberRole::config_store}) {
    int n = 0;
    std::int64_t const full = heap();
    for (std::unique_ptr<Machine> const& m : machines)
      if (m->role == role && m->up()) ++n, m->node.reset();
    if (n > 0)
      out.add(std::string("heap.") + (role == MemberRole::config_store ? "keeper" : "router") + "_bytes",
              static_cast<double>(full - heap()) / n);
  }
}

}  // namespace pipit
