// Splits a worker's server-sent event stream into complete events (§7.5).
#pragma once
#include <string>
#include <string_view>

namespace pipit {

// Buffers the bytes of one stream until an event is complete.
class EventSplitter {
 public:
  // Appends received bytes to the buffer.
  void feed(std::string_view bytes) { buffer_ += bytes; }
  // Removes the next complete event from the buffer, without the blank line that ends it. False if there is none.
  bool next(std::string& event);
  // Whether bytes of an incomplete event are left; line breaks and spaces do not count.
  bool has_partial_event() const;
  // Bytes in the buffer.
  std::size_t size() const { return buffer_.size(); }

 private:
  std::string buffer_;
};

// The value of the event's "data" field; the values of several data lines are joined by line breaks.
std::string event_data(std::string_view event);

}  // namespace pipit
