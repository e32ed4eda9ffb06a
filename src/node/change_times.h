// How long the nodes on the path of an operator's change wait for each other, where workers register themselves.
#pragma once
#include "base/micros.h"

namespace pipit {

// For the reply of the node that a change was forwarded to; then the change is proposed here.
constexpr Micros forward_timeout = millis(600);
// From the time at which the proposing node received a change until it replies that the change was chosen, whether or
// not other nodes have confirmed it by then.
constexpr Micros chosen_reply_limit = millis(450);
constexpr Micros min_spread_wait = millis(100);
static_assert(chosen_reply_limit + min_spread_wait < forward_timeout);

}  // namespace pipit
