#include "testing/platform_fleet_test/shapes.h"

namespace pipit::platform_fleet {

namespace {

RequestClass long_class(std::string name, Micros latency_target, Micros deadline, double events, std::size_t variants,
                        std::size_t openings, double late_value, double per_second) {
  RequestClass out;
  out.name = std::move(name);
  out.host = "long.example";
  out.path_prefix = "/long/";
  out.latency_target = latency_target;
  out.deadline = deadline;
  out.max_gap = millis(300);
  out.value = 2;
  out.late_value = late_value;
  out.priority = 1;
  out.max_attempts = 1;
  out.body_bytes = 12000;
  out.events = {events, 0.44, events * 2.9};
  out.own_tokens = {6610, 1.4, 54600};
  out.shared = {{{512, 0.4, 1280}, openings, 0}, {{4870, 0.7, 14600}, variants, 0.3}};
  out.per_second = per_second;
  return out;
}

RequestClass short_class(std::string name, Micros latency_target, double events, std::size_t variants,
                         std::size_t openings, double late_value, double per_second) {
  RequestClass out;
  out.name = std::move(name);
  out.host = "short.example";
  out.path_prefix = "/short/";
  out.resumable = true;
  out.latency_target = latency_target;
  out.deadline = millis(3000);
  out.max_gap = millis(300);
  out.value = 3;
  out.late_value = late_value;
  out.priority = 0;
  out.max_attempts = 2;
  out.body_bytes = 2400;
  out.events = {events, 1.4, events * 4};
  out.own_tokens = {1800, 1.3, 6870};
  out.shared = {{{341, 0.4, 851}, openings, 0}, {{227, 0.7, 681}, variants, 0.3}};
  out.per_second = per_second;
  return out;
}

Shape small_coop() {
  Shape out;
  out.name = "small-coop";
  out.service = "draft-lm";
  out.model = "m";
  out.zones = {{"east", 1, 2, 5, 0.24, 14, 0.78},
               {"north", 1, 1, 5, 0.25, 14, 0.41},
               {"south", 1, 1, 4, 0.26, 15, 0.02},
               {"west", 1, 1, 4, 0.25, 14, 0.09}};
  out.engine = {64, 192, 678399, 2048, 5, 3820, 22.7, 2.56, 68.2, 36000};
  out.report_lag = millis(230);
  out.connection_limit = 370;
  out.classes = {long_class("tribute", millis(800), millis(15000), 76.4, 115, 1, 0.2, 30.6),
                 short_class("caption", millis(400), 4.51, 671, 40, 0.3, 118)};
  return out;
}

Shape small_utility() {
  Shape out;
  out.name = "small-utility";
  out.service = "harvest-lm";
  out.model = "m";
  out.zones = {{"hill", 1, 3, 4, 0.29, 10, 0.6}, {"vale", 1, 3, 4, 0.37, 11, 0.22}, {"town", 1, 3, 4, 0.34, 10, 0.42}};
  out.engine = {48, 144, 529555, 2048, 4, 4230, 0.77, 8.57, 64.2, 670};
  out.report_lag = millis(100);
  out.connection_limit = 330;
  out.classes = {long_class("audit", millis(1000), millis(20000), 95.6, 77, 3, 0.6, 13.7),
                 short_class("weigh", millis(500), 5.64, 258, 20, 0.9, 68.5)};
  out.extra_retries = 64;
  return out;
}

// Small enough to run on a busy machine.
Shape tiny() {
  Shape out;
  out.name = "tiny";
  out.service = "small-lm";
  out.model = "m";
  out.zones = {{"left", 2, 0, 2, 0.5, 4, 0}, {"right", 1, 1, 2, 0.5, 4, 0.5}};
  out.engine = {16, 32, 120000, 2048, 5, 4000, 20, 2.5, 68, 2000};
  out.connection_limit = 120;
  out.classes = {long_class("letter", millis(1000), millis(6000), 20, 8, 1, 0.4, 4),
                 short_class("note", millis(500), 4, 30, 4, 0.5, 12)};
  out.classes[0].own_tokens = {1500, 0.5, 4000};
  out.classes[0].shared[1].tokens = {1200, 0.4, 3000};
  return out;
}

// Like tiny(), with one more replica and machines without a disk in two zones, so that the rest suffices after
// permanent losses.
Shape soak() {
  Shape out = tiny();
  out.name = "soak";
  out.zones = {{"left", 2, 1, 2, 0.4, 4, 0}, {"middle", 1, 1, 2, 0.3, 4, 0.3}, {"right", 1, 1, 2, 0.3, 4, 0.6}};
  out.classes[0].per_second = 5;
  out.classes[1].per_second = 20;
  return out;
}

// A large site with fewer machines and less traffic: six zones of one machine with a disk and some without, and the
// large site's bounds.
Shape large_site(std::string name, int plain_nodes_per_zone, int workers_per_zone, double request_rate) {
  Shape out = tiny();
  out.name = std::move(name);
  out.zones.clear();
  for (char const* const zone : {"first", "second", "third", "fourth", "fifth", "sixth"})
    out.zones.push_back(
        {zone, 1, plain_nodes_per_zone, workers_per_zone, 1.0 / 6, 6, 0.1 * static_cast<double>(out.zones.size())});
  out.classes[0].per_second = request_rate / 7;
  out.classes[1].per_second = request_rate * 6 / 7;
  out.extra_retries = 640;
  out.max_idle_routes = 40;
  out.bounds.in_touch = seconds(5);
  out.bounds.acknowledge = seconds(6);
  out.bounds.configuration = seconds(3);
  out.bounds.drain = seconds(3);
  out.bounds.pass_duration = millis(200);
  out.bounds.tolerated_machines = 2;
  out.bounds.core_processor_share = 0.32;
  out.bounds.plain_processor_share = 0.12;
  return out;
}

Shape wide() { return large_site("wide", 15, 6, 70); }

// Just large enough that the nodes use the mesh's mode for large fleets.
Shape broad() { return large_site("broad", 4, 2, 21); }

std::vector<Shape> const& shapes() {
  static std::vector<Shape> const all = {small_coop(), small_utility(), tiny(), soak(), wide(), broad()};
  return all;
}

}  // namespace

Shape const* shape_of(std::string const& name) {
  for (Shape const& item : shapes())
    if (item.name == name) return &item;
  return nullptr;
}

std::string shape_names() {
  std::string out;
  for (Shape const& item : shapes()) out += (out.empty() ? "" : ", ") + item.name;
  return out;
}

}  // namespace pipit::platform_fleet
