// The HTTP face of a node: callers and operators (§7, §8). It owns the server's sockets.
#pragma once
#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/error.h"

namespace pipit {

class ChatServer {
 public:
  // A request as it came, and the way to answer it. Held until it is answered or its caller has gone.
  struct Call {
    std::uint64_t id = 0;
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
    SoupMessageHeaders* request_headers = nullptr;
    std::string header(char const* name) const;
  };
  struct Callbacks {
    std::function<void(Call const&)> call;
    std::function<void(std::uint64_t id)> disconnected;  // the caller hung up before the answer ended
  };
  ChatServer(Callbacks callbacks, std::size_t max_body_bytes);
  ~ChatServer();

  Result<void> listen(std::string const& address);
  void answer(std::uint64_t id, unsigned status, std::string const& type, std::string const& body,
              std::map<std::string, std::string> const& headers = {});
  void answer(std::uint64_t id, Answer const& answer);
  // A stream: a head, pieces, and its end; or a last piece after which the body is broken off.
  void write_chunk(std::uint64_t id, std::string const& bytes, std::map<std::string, std::string> const& headers = {});
  void end(std::uint64_t id);
  void break_off(std::uint64_t id, std::string const& last);
  bool streaming(std::uint64_t id) const;
  std::size_t open_calls() const { return calls_.size(); }
  // From now on every answer closes its connection, and no new connection is taken.
  void close_after_answers();
  void stop_listening();
  std::uint64_t aborted_bodies = 0;  // bodies that were too large or too slow

 private:
  struct OpenCall;
  static void on_started(SoupServer*, SoupServerMessage* message, gpointer self);
  static void on_headers(SoupServer*, SoupServerMessage* message, char const* path, GHashTable* query, gpointer self);
  static void on_call(SoupServer*, SoupServerMessage* message, char const* path, GHashTable* query, gpointer self);
  static void on_finished(SoupServerMessage* message, gpointer data);
  static void on_wrote_chunk(SoupServerMessage* message, gpointer data);
  static void on_wrote_data(SoupServerMessage* message, guint size, gpointer data);
  static gboolean on_peer(GSocket* socket, GIOCondition condition, gpointer data);
  static gboolean on_timeout(gpointer data);
  void remove(OpenCall& open_call, bool disconnected);
  void abort(OpenCall& open_call);

  Callbacks callbacks_;
  std::size_t const max_body_bytes_;
  SoupServer* server_ = nullptr;
  std::uint64_t next_id_ = 0;
  bool closes_connections_ = false;
  std::map<std::uint64_t, std::unique_ptr<OpenCall>> calls_;
};

}  // namespace pipit
