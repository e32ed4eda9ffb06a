// Operators and readers of the control plane: calls that are lost, doubled and late, orders that are sent again to
// other machines until they have a clear answer.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "testing/control_plane_simulator/judge.h"
#include "testing/control_plane_simulator/world.h"

namespace pipit::control_plane_simulator {

// What a caller makes of an answer: 200, 412 or 400, and everything else.
enum class Verdict : std::uint8_t { confirmed, stale, unclear };

struct OperatorPlan {
  Micros lag = millis(3);
  Micros reply_timeout = seconds(1);  // after which a caller tries elsewhere
  Micros patience = seconds(12);
  double lost = 0;     // share of answers that never arrive
  double late = 0;     // and of those that arrive after one to three seconds
  double doubled = 0;  // share of calls that arrive twice
};

class Operators {
 public:
  using OnVerdict = std::function<void(Verdict)>;
  Operators(World& world_, Judge& judge_, OperatorPlan plan_ = {});

  OrderId replace(std::uint64_t base, std::uint64_t label, std::size_t padding = 0);
  OrderId amend(std::uint64_t base, std::uint64_t label);
  // One call at one machine.
  void send(OrderId id, MachineId machine, OnVerdict on_verdict = {});
  void read(MachineId machine, OnVerdict on_verdict = {});
  // Sends an order, again and elsewhere until its answer is clear or the patience ends.
  void drive(OrderId id, OnVerdict on_verdict = {});
  void drive_reading(OnVerdict on_verdict = {});

  // Orders one after another, each on the newest label that was told, at so many a second.
  void storm(Micros span, double rate);
  // One operator that always has an order under way.
  void steady(Micros until, Micros pause = millis(300));
  // Everything at once: orders, rivals under one number, repeats of old orders, amends, readings; 'most' under way.
  void mixed(Micros until, std::size_t most);

  // Nothing is begun or tried again any more.
  void halt() { halted = true; }
  void resume() { halted = false; }

  std::uint64_t newest_acknowledged() const { return newest; }
  std::uint64_t next_label() { return ++labels; }
  MachineId any_machine();
  std::size_t open_orders() const { return driving; }
  OperatorPlan plan;

 private:
  struct Call {
    bool reading = false;
    OrderId order = 0;
    MachineId machine = 0;
    std::uint64_t process = 0;
    Micros asked = 0;
    Micros arrived = 0;
    bool looked = false;  // an amend that has read
    OnVerdict on_verdict;
  };
  struct Client {
    bool reading = false;
    OrderId order = 0;
    Micros give_up = 0;
    int attempts = 0;
    bool over = false;
    OnVerdict on_verdict;
  };
  void call(bool reading, OrderId order, MachineId machine, OnVerdict on_verdict);
  void arrive(Call call);
  void start(Call const& call, Change change);
  void answered(Machine& machine, ChangeReply const& reply);
  void amend_read(Call call, ChangeReply const& reply);
  void answer(Call const& call, Verdict verdict, std::string const& why, std::uint64_t label, std::string const& text);
  void fails(Call const& call);
  void attempt(std::shared_ptr<Client> const& client);
  void ended(Machine& machine);
  void storm_tick(Micros until, Micros gap);
  void steady_turn(Micros until, Micros pause);
  void mixed_turn(Micros until, std::size_t most);
  std::string text_of(OrderId id, std::string const& source) const;

  World& world;
  Judge& judge;
  RandomSource random;
  std::map<std::uint64_t, Call> calls;
  std::uint64_t next_call = 0;
  std::uint64_t newest = 0;
  std::uint64_t labels = 0;
  std::size_t driving = 0;
  bool halted = false;
  std::vector<OrderId> answered_orders;  // orders that were driven and have an answer
};

}  // namespace pipit::control_plane_simulator
