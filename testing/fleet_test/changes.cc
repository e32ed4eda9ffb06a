// Changes of the description, and what became of them.
#include <cstdio>
#include <cstdlib>

#include "testing/fleet_test/fleet_test.h"

namespace pipit {

std::string FleetTest::door() {
  for (Actor* const actor : live_nodes())
    if (!actor->cut && actor->name[0] == 'p') return actor->name;
  return "p1";
}

bool FleetTest::apply(std::string const& at, int turn, std::size_t size) {
  std::string const text = description_of(shape, turn, size);
  Got const got = fetch("PUT", actors[at].address + ":7080", "/v1/description", text, std::to_string(expected));
  return note_change(got, text);
}

bool FleetTest::note_change(Got const& got, std::string const& text) {
  if (got.status != 200) {
    std::printf("%6.1f change answered %u %s\n", clock(), got.status, got.body.c_str());
    if (got.status == 504 || got.status == 0) unknown.push_back(text);
    return false;
  }
  serial_yes = std::strtoull(got.body.c_str() + got.body.find("\"serial\":") + 9, nullptr, 10);
  expected = serial_yes;
  accepted[serial_yes] = now();
  if (!text.empty()) {
    text_yes = text;
    unknown.clear();
  }
  std::printf("%6.1f serial %llu is accepted\n", clock(), static_cast<unsigned long long>(serial_yes));
  return true;
}

void FleetTest::resync() {
  Got const got = fetch("GET", actors[door()].address + ":7080", "/v1/description", "", "");
  if (got.status == 200) expected = std::strtoull(got.serial.c_str(), nullptr, 10);
}

void FleetTest::race() {
  resync();
  std::vector<Actor*> field;
  for (Actor* const actor : live_nodes())
    if (!actor->cut) field.push_back(actor);
  if (field.size() < 2) return;
  std::string const texts[2] = {description_of(shape, ++turn), description_of(shape, ++turn)};
  Got got[2];
  int over = 0;
  std::string const match = std::to_string(expected);
  for (int i = 0; i < 2; ++i)
    ask("PUT", field[i == 0 ? 0 : field.size() - 1]->address + ":7080", "/v1/description", texts[i], match,
        [&got, &over, i](Got const& item) {
          got[i] = item;
          ++over;
        });
  while (over < 2) g_main_context_iteration(nullptr, TRUE);
  std::printf("%6.1f rivals were answered %u and %u\n", clock(), got[0].status, got[1].status);
  if (got[0].status == 200 && got[1].status == 200) fault("N8", "both of two rivals were told yes");
  ++races;
  for (int i = 0; i < 2; ++i)
    if (got[i].status == 200) note_change(got[i], texts[i]);
  if (got[0].status != 200 && got[1].status != 200) resync();
}

}  // namespace pipit
