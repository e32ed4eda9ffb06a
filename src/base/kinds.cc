#include "base/kinds.h"

#include <array>

#include "base/json_writer.h"

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
  JsonWriter json;
  json.begin_object().key("error").begin_object();
  json.key("kind").text(row.name).key("message").text(fault.why.empty() ? row.text : fault.why);
  if (!fault.place.empty()) json.key("place").text(fault.place);
  json.key("ran").text(ran_word(ran));
  if (out.wait > 0) json.key("retry_after_ms").number(out.wait / 1000);
  json.end_object().end_object();
  out.body = json.take();
  return out;
}

Answer answer_for(Fault const& fault) {
  KindRow const& row = kind_row(fault.kind);
  return answer_for(fault, row.ran, row.wait);
}

}  // namespace pipit
