#pragma once

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http1/body_budget.h"
#include "http1/connection_close.h"
#include "http1/give_way.h"
#include "http1/message_parser.h"
#include "http1/output_budget.h"
#include "http1/tcp_connection.h"
#include "http1/unread_output.h"

namespace pistachiowalk {

class ServerConnection;

// One request received on a connection and the response to it. Calls made after
// the connection has ended have no effect.
class ServerExchange final
    : public boost::intrusive_ref_counter<ServerExchange,
                                          boost::thread_unsafe_counter> {
 public:
  ServerExchange(ServerConnection& connection,
                 RequestHead head,
                 SharedBytes body)
      : m_connection(&connection),
        m_head(std::move(head)),
        m_body(std::move(body)) {}

  const RequestHead& head() const { return m_head; }
  const std::string& body() const { return *m_body; }
  // Its memory stays reserved until the last owner releases it.
  const SharedBytes& shared_body() const { return m_body; }
  bool is_open() const { return m_connection != nullptr; }
  bool has_begun() const { return m_has_begun; }
  // Response bytes that have not been passed to the socket yet.
  size_t unsent_bytes() const;

  // `handler` is called once if the client disconnects before the response is
  // complete.
  void SetDisconnectHandler(std::function<void()> handler) {
    m_on_disconnect = std::move(handler);
  }

  // Sends a complete response.
  void Respond(int status, const HttpHeaders& headers, std::string_view body);
  // Sends a complete response to a HEAD request. `body_size` is that of the
  // body that a GET request would get, nullopt if it is not known.
  void RespondWithoutBody(int status,
                          const HttpHeaders& headers,
                          std::optional<size_t> body_size);
  // Begins a response whose length is not known in advance.
  void Begin(int status, std::string_view reason, const HttpHeaders& headers);
  void SendChunk(std::string_view bytes);
  void Finish();
  // Closes the connection without the last chunk, or resets it if the client
  // does not accept chunks, so that it sees the response as incomplete.
  void Abort();

 private:
  friend class ServerConnection;

  ServerConnection* m_connection;
  RequestHead m_head;
  SharedBytes m_body;
  std::function<void()> m_on_disconnect;
  bool m_has_begun = false;
  bool m_is_finished = false;
};

using ServerExchangePtr = boost::intrusive_ptr<ServerExchange>;

// Limits on what a client may send and how long it may take.
struct ServerLimits {
  ParseLimits parse;
  // Time limit from the first byte of a request to the end of its headers.
  Duration header_timeout = std::chrono::seconds(5);
  // Time after which a connection without a request is closed.
  Duration idle_timeout = std::chrono::seconds(60);
  // Whether responses say in Keep-Alive how long an idle connection is kept.
  bool announces_idle_timeout = false;
  // Time in which a caller must send kMinimumBodyProgress more of a body, or
  // its end.
  Duration body_timeout = std::chrono::seconds(15);
  // Time in which a client must read some more of its responses.
  Duration output_timeout = std::chrono::seconds(30);

  friend bool operator==(const ServerLimits& a, const ServerLimits& b) {
    return a.parse.header_bytes == b.parse.header_bytes &&
           a.parse.body_bytes == b.parse.body_bytes &&
           a.header_timeout == b.header_timeout &&
           a.idle_timeout == b.idle_timeout &&
           a.announces_idle_timeout == b.announces_idle_timeout &&
           a.body_timeout == b.body_timeout &&
           a.output_timeout == b.output_timeout;
  }
};

inline constexpr size_t kMinimumBodyProgress = 1024;

// The server side of one HTTP/1.1 connection. Requests are handled one at a
// time; pipelined requests wait in the input buffer, and none is handled while
// much of the earlier responses is unsent.
class ServerConnection final
    : public boost::intrusive_ref_counter<ServerConnection,
                                          boost::thread_unsafe_counter> {
 public:
  using RequestHandler = std::function<void(const ServerExchangePtr&)>;
  using EndHandler = std::function<void(ServerConnection&)>;

  ServerConnection(const Clock& clock,
                   TcpConnectionPtr connection,
                   ServerLimits limits,
                   std::shared_ptr<BodyBudget> budget,
                   std::shared_ptr<OutputBudget> output_budget,
                   RequestHandler on_request,
                   EndHandler on_end);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Starts handling input and counting the idle time.
  void Start();
  // Closes the connection if its request's headers or the rest of its body are
  // overdue, or it has been idle for too long. Must be called regularly.
  void CheckTimeouts(TimePoint now);
  // The body that is being received, to choose which ones give way; nullopt if
  // there is none. Memory counts only in the part of the budget that `is_long`
  // names.
  std::optional<ReceivedBody> DescribeBody(bool is_long) const;
  // Set while the connection is not read for lack of room.
  std::optional<TimePoint> waiting_since() const { return m_waiting_since; }
  // Whether the body that waits is a long one.
  bool waits_for_long() const { return m_wants_long; }
  // Reads on if there is room now.
  void ResumeIfRoom();
  // Lets the body that waits use the reserve up to its end, and reads on.
  void ResumeWithReserve();
  // Whether the body that is received may use the reserve for long bodies, or
  // for short ones; nullopt if it may use none.
  std::optional<bool> reserve_is_long() const { return m_reserve_is_long; }
  // What is held as the client does not read; nullopt if the socket has taken
  // everything.
  std::optional<UnreadOutput> DescribeOutput() const;
  // Closes the connection, whose client does not read, so that the client sees
  // an error.
  void CloseUnread();
  // Closes the connection after the next response whose head can say so.
  void CloseAfterResponse() { m_closes_after_response = true; }
  // Closes the connection after the response in progress, or at once if it is
  // idle and no request waits to be read. May be called again.
  void CloseWhenIdle();
  // Closes the connection, which is idle, for a new one.
  void Displace();
  void Close();
  // How the connection has ended; for the end handler.
  ConnectionClose DescribeClose() const;
  // If a request has been received in part, answers it with 503 and `headers`
  // and closes the connection.
  void RefuseUnfinishedRequest(const HttpHeaders& headers);

  // A connection that is idle keeps the larger of the idle timeouts that were
  // in force meanwhile. Limits on sizes hold for requests of which nothing was
  // received yet.
  void SetLimits(const ServerLimits& limits);
  bool is_idle() const { return !m_exchange && !m_parser->has_started(); }
  // Whether received bytes wait in the socket to be read.
  bool HasPendingInput() const { return m_connection->HasPendingInput(); }
  // Whether further requests wait until the client has read.
  bool is_output_full() const { return m_is_output_full; }
  TimePoint idle_since() const { return m_idle_since; }
  // Whether no request has been received on it.
  bool is_unused() const { return m_is_unused; }
  // Whether the last response was passed to the connection.
  bool is_closing() const { return m_closing_since.has_value(); }
  size_t body_timeouts() const { return m_body_timeouts; }
  // Whether it was closed as the client read too little in time.
  bool has_output_timed_out() const { return m_has_output_timed_out; }
  // Requests refused as short bodies hold too much.
  size_t overfull_refusals() const { return m_overfull_refusals; }
  // Whether response bytes have not been passed to the socket yet, or the peer
  // may still send a request that was refused before its end. Closing the
  // socket would discard them, or the refusal.
  bool is_delivering() const {
    return m_connection->unsent_bytes() > 0 || m_has_refused_unfinished;
  }

 private:
  friend class ServerExchange;

  void OnReceived();
  void OnEnded();
  void BeginIdleTime();
  void OnFlushed();
  // Counts what is unsent, and the input that waits behind it.
  void HoldOutput();
  // Whether so much is unsent that no further request is handled.
  bool IsOutputFull() const;
  // Notes what the client has read. Returns whether it read too little in time.
  bool IsOutputOverdue(TimePoint now);
  void ParseNext();
  // Reserves room for the body that the received bytes may add, and for the
  // next read. Stops reading and returns false if there is none.
  bool ReserveForInput();
  void SetWaiting(bool is_waiting);
  void RefuseForRoom();
  // Reserves what is held, whether there is room or not.
  void ReserveHeld();
  void NoteProgress();
  void Refuse(ParseError error);
  // Sends the response head; `body_size` is nullopt for a body that is chunked,
  // or ends with the connection if the client does not accept chunks.
  void SendHead(int status,
                std::string_view reason,
                const HttpHeaders& headers,
                std::optional<size_t> body_size,
                bool accepts_chunks = true);
  // Closes the connection so that the client sees an error.
  void Reset();
  void FinishExchange();
  // Handles the input, and reads more if little of it waits.
  void ReadOn();
  void DropExchange();
  // Ends an exchange whose handler has thrown.
  void EndFailedExchange(const ServerExchangePtr& exchange);
  // Sends what is left, then closes the connection and calls End().
  void CloseWhenSent(CloseCause cause);
  // Closes the connection, on which no request is expected any more.
  void CloseIdle(CloseCause cause);
  void NoteClose(CloseCause cause);
  void End();

  const Clock& m_clock;
  TcpConnectionPtr m_connection;
  ServerLimits m_limits;
  RequestHandler m_on_request;
  EndHandler m_on_end;
  std::unique_ptr<RequestParser> m_parser;
  ServerExchangePtr m_exchange;
  // For what is received of the next request.
  BodyReservation m_reservation;
  size_t m_head_bytes = 0;
  size_t m_read_bytes = 0;
  std::optional<TimePoint> m_waiting_since;
  // Bytes for which there is no room, and whether they are of a long body.
  size_t m_wanted_bytes = 0;
  bool m_wants_long = false;
  std::optional<bool> m_reserve_is_long;
  // When the body's size was last seen to have grown by as much as a steady
  // caller sends, and by kMinimumBodyProgress.
  TimePoint m_steady_at{};
  size_t m_steady_bytes = 0;
  TimePoint m_progress_at{};
  size_t m_progress_bytes = 0;
  size_t m_body_timeouts = 0;
  OutputReservation m_output;
  // Set from the first check at which the socket had not taken everything until
  // it has.
  std::optional<OutputProgress> m_output_progress;
  // Further requests wait until the client has read.
  bool m_is_output_full = false;
  bool m_has_output_timed_out = false;
  size_t m_overfull_refusals = 0;
  bool m_is_unused = true;
  TimePoint m_idle_since{};
  Duration m_idle_timeout{};
  std::optional<TimePoint> m_request_since;
  // Of the last check of the timeouts.
  TimePoint m_now{};
  // Set once the last response was passed to the connection.
  std::optional<TimePoint> m_closing_since;
  bool m_closes_after_response = false;
  // The head of the current response says that the connection closes after it.
  bool m_has_announced_close = false;
  bool m_has_refused_unfinished = false;
  bool m_is_parsing = false;
  ConnectionClose m_close;
};

using ServerConnectionPtr = boost::intrusive_ptr<ServerConnection>;

}  // namespace pistachiowalk
