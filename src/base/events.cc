#include "base/events.h"

#include <iterator>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace pipit {

namespace {
EventRow const rows[] = {
#define EVENT(number, name, level, text) {number, #name, #level, text},
    PIPIT_EVENTS(EVENT)
#undef EVENT
};
bool log_muted = false;
}  // namespace

EventRow const* event_rows(std::size_t& count) {
  count = std::size(rows);
  return rows;
}

void open_log(std::string const& node, std::string const& file) {
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} " + node + " %level %msg");
  conf.setGlobally(el::ConfigurationType::ToFile, file.empty() ? "false" : "true");
  if (!file.empty()) conf.setGlobally(el::ConfigurationType::Filename, file);
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, file.empty() ? "true" : "false");
  el::Loggers::reconfigureLogger("default", conf);
}

bool log_is_muted() { return log_muted; }

std::string& log_prefix() {
  thread_local std::string prefix;
  return prefix;
}

void mute_log(bool muted) { log_muted = muted; }

void log_event(Event event, std::string const& detail) {
  if (!log_muted) log_always(event, detail);
}

void log_always(Event event, std::string const& detail) {
  switch (event) {
#define EVENT(number, name, level, text)                                                                  \
  case Event::name:                                                                                       \
    LOG(level) << log_prefix() << "E" << number << " " << text << (detail.empty() ? "" : ": ") << detail; \
    break;
    PIPIT_EVENTS(EVENT)
#undef EVENT
  }
}

}  // namespace pipit
