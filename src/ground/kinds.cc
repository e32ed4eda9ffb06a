#include "ground/kinds.h"

#include <array>

#include "ground/jot.h"

namespace pipit {

namespace {
KindRow const rows[] = {
#define KIND(name, status, ran, wait, text) {#name, status, Ran::ran, millis(wait), text},
    PIPIT_KINDS(KIND)
#undef KIND
};
}  // namespace

char const* ran_word(Ran ran) {
  switch (ran) {
    case Ran::no:
      return "no";
    case Ran::yes:
      return "yes";
    default:
      return "unknown";
  }
}

KindRow const& kind_row(Kind kind) { return rows[static_cast<std::size_t>(kind)]; }
std::size_t kind_count() { return std::size(rows); }

Answer answer_for(Fault const& fault, Ran ran, Micros wait) {
  KindRow const& row = kind_row(fault.kind);
  Answer out;
  out.status = row.status;
  // §7.2: only what certainly did not run is offered again.
  out.wait = ran == Ran::no ? wait : 0;
  Jot jot;
  jot.open().key("error").open();
  jot.key("kind").text(row.name).key("message").text(fault.why.empty() ? row.text : fault.why);
  if (!fault.place.empty()) jot.key("place").text(fault.place);
  jot.key("ran").text(ran_word(ran));
  if (out.wait > 0) jot.key("retry_after_ms").number(out.wait / 1000);
  jot.shut().shut();
  out.body = jot.take();
  return out;
}

Answer answer_for(Fault const& fault) {
  KindRow const& row = kind_row(fault.kind);
  return answer_for(fault, row.ran, row.wait);
}

}  // namespace pipit
