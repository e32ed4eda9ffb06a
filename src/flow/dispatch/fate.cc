#include "flow/dispatch/fate.h"

#include "base/guards.h"

namespace pipit {

Fate fate_of(Traits const& t, Reach reach, AttemptEnd end) {
  bool const another = t.attempts && t.budget && t.time;
  if (end == AttemptEnd::whole) return Fate::done;
  if (reach == Reach::answering) return t.resumable && another && end != AttemptEnd::failed ? Fate::again : Fate::cut;
  // Whether it may be told that it has not run: a request that may repeat loses nothing by being asked for again.
  bool const clean = t.repeatable || !t.ran || !guard(Guard::honest_ran);
  switch (end) {
    case AttemptEnd::unreached:
      // Nothing has left: another worker costs nobody anything.
      if (reach == Reach::none) return t.time ? Fate::again : clean ? Fate::refuse : Fate::fail;
      return t.repeatable ? (another ? Fate::again : Fate::refuse) : Fate::fail;
    case AttemptEnd::declined:
      return another ? Fate::again : clean ? Fate::refuse : Fate::fail;
    case AttemptEnd::failed:
      return t.repeatable && another ? Fate::again : Fate::pass;
    default:
      if (reach == Reach::none) return t.time ? Fate::again : clean ? Fate::refuse : Fate::fail;
      if (!guard(Guard::never_repeat) && another) return Fate::again;
      if (!guard(Guard::honest_ran) && !another) return Fate::refuse;
      return t.repeatable ? (another ? Fate::again : Fate::refuse) : Fate::fail;
  }
}

}  // namespace pipit
