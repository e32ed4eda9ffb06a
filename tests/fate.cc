// At most once: every combination of what is known of a request, how far its attempt came, and how that ended (§12.5).
#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "flow/dispatch/fate.h"

namespace pipit {

namespace {
struct Case {
  Traits traits;
  Reach reach = Reach::none;
  AttemptEnd end = AttemptEnd::whole;

  bool another() const { return traits.attempts && traits.budget && traits.time; }
  // What may go on at another worker may run there once more: it may repeat as well.
  bool twice() const { return traits.repeatable || traits.resumable; }
  // This attempt may have run: a byte may have left, and the worker did not say otherwise.
  bool may_have_run() const { return reach != Reach::none && end != AttemptEnd::declined; }
  std::string text() const {
    std::string out;
    for (bool const flag :
         {traits.repeatable, traits.resumable, traits.attempts, traits.budget, traits.time, traits.ran})
      out += flag ? '1' : '0';
    return "repeatable resumable attempts budget time ran " + out + ", reach " +
           std::to_string(static_cast<int>(reach)) + ", end " + std::to_string(static_cast<int>(end));
  }
};

Traits traits_of(unsigned bits) {
  Traits out;
  out.repeatable = (bits & 1) != 0;
  out.resumable = (bits & 2) != 0;
  out.attempts = (bits & 4) != 0;
  out.budget = (bits & 8) != 0;
  out.time = (bits & 16) != 0;
  out.ran = (bits & 32) != 0;
  return out;
}

void each(std::function<void(Case const&, Fate)> const& judge) {
  for (unsigned bits = 0; bits < 64; ++bits)
    for (Reach const reach : {Reach::none, Reach::sent, Reach::answering})
      for (std::uint8_t end = 0; end < attempt_ends; ++end) {
        Case item{traits_of(bits), reach, static_cast<AttemptEnd>(end)};
        SCOPED_TRACE(item.text());
        judge(item, fate_of(item.traits, item.reach, item.end));
      }
}
}  // namespace

TEST(Fate, what_may_not_repeat_is_sent_again_only_when_it_was_declined) {
  each([](Case const& item, Fate fate) {
    if (!item.twice() && item.may_have_run()) {
      EXPECT_NE(fate, Fate::again);
    }
  });
}

TEST(Fate, nobody_is_told_to_come_back_with_what_may_have_run_and_may_not_repeat) {
  each([](Case const& item, Fate fate) {
    if (!item.traits.repeatable && (item.traits.ran || item.may_have_run())) {
      EXPECT_NE(fate, Fate::refuse);
    }
  });
}

TEST(Fate, another_worker_needs_attempts_budget_and_time) {
  each([](Case const& item, Fate fate) {
    if (fate != Fate::again) return;
    EXPECT_TRUE(item.traits.time);
    // Where nothing has left, another worker costs nobody anything.
    if (item.reach != Reach::none) {
      EXPECT_TRUE(item.another());
    }
  });
}

TEST(Fate, what_was_passed_on_goes_on_ends_or_is_cut) {
  each([](Case const& item, Fate fate) {
    if (item.reach != Reach::answering) {
      EXPECT_NE(fate, Fate::cut);
      return;
    }
    EXPECT_TRUE(fate == Fate::again || fate == Fate::cut || fate == Fate::done);
    if (fate == Fate::again) {
      EXPECT_TRUE(item.traits.resumable);
    }
  });
}

TEST(Fate, only_a_whole_answer_is_done) {
  each([](Case const& item, Fate fate) { EXPECT_EQ(fate == Fate::done, item.end == AttemptEnd::whole); });
}

TEST(Fate, only_a_failure_of_the_workers_own_is_passed_back) {
  each([](Case const& item, Fate fate) {
    if (fate == Fate::pass) {
      EXPECT_EQ(item.end, AttemptEnd::failed);
    }
    if (item.end == AttemptEnd::failed && item.reach != Reach::answering) {
      EXPECT_TRUE(fate == Fate::pass || fate == Fate::again);
    }
  });
}

TEST(Fate, doubt_is_told_only_of_what_may_not_repeat_and_may_have_run) {
  each([](Case const& item, Fate fate) {
    if (fate != Fate::fail) return;
    EXPECT_FALSE(item.traits.repeatable);
    EXPECT_TRUE(item.traits.ran || item.may_have_run());
  });
}

TEST(Fate, no_second_chance_is_left_unused) {
  each([](Case const& item, Fate fate) {
    if (!item.another() || item.end == AttemptEnd::whole) return;
    if (item.reach == Reach::answering) {
      if (item.traits.resumable && item.end != AttemptEnd::failed) {
        EXPECT_EQ(fate, Fate::again);
      }
    } else if (item.traits.repeatable || item.end == AttemptEnd::declined ||
               (item.reach == Reach::none && item.end != AttemptEnd::failed)) {
      EXPECT_EQ(fate, Fate::again);
    }
  });
}

TEST(Fate, more_attempts_budget_or_time_take_no_second_chance_away) {
  each([](Case const& item, Fate fate) {
    if (fate != Fate::again) return;
    for (int i = 0; i < 3; ++i) {
      Traits more = item.traits;
      (i == 0 ? more.attempts : i == 1 ? more.budget : more.time) = true;
      EXPECT_EQ(fate_of(more, item.reach, item.end), Fate::again);
    }
  });
}

}  // namespace pipit
