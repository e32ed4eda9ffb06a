// Splits a worker's server-sent event stream into complete events (§7.5).
#pragma once
#include <string>
#include <string_view>

namespace pipit {

// Buffers the bytes of one stream until an event is complete.
class EventSplitter {
 public:
  void feed(std::string_view bytes) { store_ += bytes; }
  // Takes the next whole event, without its blank line; false when none is whole.
  bool next(std::string& event);
  bool rest() const;  // something that is not a whole event is left
  std::size_t size() const { return store_.size(); }

 private:
  std::string store_;
};

// The data of an event, its lines joined.
std::string event_data(std::string_view event);

}  // namespace pipit
