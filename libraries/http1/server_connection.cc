#include "http1/server_connection.h"

#include <fmt/format.h>

#include <algorithm>

#include "http1/message_writer.h"

namespace pistachiowalk {
namespace {

// Time for the client to read the last response before the connection is
// closed.
constexpr Duration kLinger = std::chrono::milliseconds(1500);
// A client that reads the last response too slowly is cut off after this time.
constexpr Duration kMaximumClosingTime = std::chrono::seconds(30);
// Part of the idle timeout that clients are told: a request sent within it
// arrives before the connection is closed.
constexpr int kAnnouncedIdlePercent = 80;
// Bytes of pipelined requests read while a request is being answered; reading
// stops beyond that.
constexpr size_t kMaximumPipelinedBytes = 16 * 1024;
// Unsent bytes above which no further request of the connection is handled.
constexpr size_t kMaximumUnsentBytes = 16 * 1024;
// Bytes read at once of a head or a short body, for which no room was reserved.
constexpr size_t kShortReadBytes = 16 * 1024;
// What a steady caller sends in the time after which others are stalled.
constexpr size_t kSteadyBytes = 8 * 1024;
// A body whose allocation is larger by this than its size is moved to a smaller
// one.
constexpr size_t kMaximumSlackBytes = 64 * 1024;

// Told to callers for whose requests there is no room.
constexpr Duration kNoRoomRetryAfter = std::chrono::seconds(1);

// A body and its reservation.
struct ReservedBody {
  explicit ReservedBody(std::shared_ptr<BodyBudget> budget)
      : reservation(std::move(budget)) {}

  std::string bytes;
  BodyReservation reservation;
};

size_t AllocatedBytes(const RequestHead& head) {
  size_t bytes =
      head.target.capacity() + head.headers.capacity() * sizeof(HttpHeader);
  for (const HttpHeader& header : head.headers) {
    bytes += header.name.capacity() + header.value.capacity();
  }
  return bytes;
}

// Moves a text to an allocation of exactly `bytes`.
void Reallocate(std::string& text, size_t bytes) {
  // NOTE: reserve() would at least double the allocation.
  std::string moved;
  moved.reserve(bytes);
  moved += text;
  text.swap(moved);
}

}  // namespace

size_t ServerExchange::unsent_bytes() const {
  return m_connection == nullptr ? 0
                                 : m_connection->m_connection->unsent_bytes();
}

void ServerExchange::Respond(int status,
                             const HttpHeaders& headers,
                             std::string_view body) {
  if (m_connection == nullptr || m_is_finished) {
    return;
  }
  m_is_finished = true;
  m_connection->SendHead(status, ReasonPhrase(status), headers, body.size());
  if (m_head.method != "HEAD") {
    m_connection->m_connection->Send(body);
    m_connection->HoldOutput();
  }
  m_connection->FinishExchange();
}

void ServerExchange::RespondWithoutBody(int status,
                                        const HttpHeaders& headers,
                                        std::optional<size_t> body_size) {
  if (m_connection == nullptr || m_is_finished) {
    return;
  }
  m_is_finished = true;
  m_connection->SendHead(status, ReasonPhrase(status), headers, body_size,
                         m_head.accepts_chunks);
  m_connection->FinishExchange();
}

void ServerExchange::Begin(int status,
                           std::string_view reason,
                           const HttpHeaders& headers) {
  if (m_connection == nullptr || m_has_begun || m_is_finished) {
    return;
  }
  m_has_begun = true;
  // NOTE: Without chunks the end of the body is that of the connection.
  m_connection->m_closes_after_response |= !m_head.accepts_chunks;
  m_connection->SendHead(status, reason, headers, std::nullopt,
                         m_head.accepts_chunks);
}

void ServerExchange::SendChunk(std::string_view bytes) {
  if (m_connection == nullptr || !m_has_begun || m_is_finished) {
    return;
  }
  if (!m_head.accepts_chunks) {
    m_connection->m_connection->Send(bytes);
    m_connection->HoldOutput();
    return;
  }
  std::string chunk;
  AppendChunk(chunk, bytes);
  m_connection->m_connection->Send(chunk);
  m_connection->HoldOutput();
}

void ServerExchange::Finish() {
  if (m_connection == nullptr || !m_has_begun || m_is_finished) {
    return;
  }
  m_is_finished = true;
  if (m_head.accepts_chunks) {
    std::string end;
    AppendLastChunk(end);
    m_connection->m_connection->Send(end);
  }
  m_connection->FinishExchange();
}

void ServerExchange::Abort() {
  if (m_connection == nullptr || m_is_finished) {
    return;
  }
  m_is_finished = true;
  const ServerConnectionPtr connection(m_connection);
  if (m_has_begun && !m_head.accepts_chunks) {
    // NOTE: An orderly end of the connection would be the end of the body.
    connection->Reset();
    return;
  }
  connection->DropExchange();
  // NOTE: The bytes sent so far are still delivered. The missing last chunk
  // lets the client detect that the response is incomplete.
  connection->CloseWhenSent(CloseCause::kAborted);
}

ServerConnection::ServerConnection(const Clock& clock,
                                   TcpConnectionPtr connection,
                                   ServerLimits limits,
                                   std::shared_ptr<BodyBudget> budget,
                                   std::shared_ptr<OutputBudget> output_budget,
                                   RequestHandler on_request,
                                   EndHandler on_end)
    : m_clock(clock),
      m_connection(std::move(connection)),
      m_limits(limits),
      m_on_request(std::move(on_request)),
      m_on_end(std::move(on_end)),
      m_parser(std::make_unique<RequestParser>(limits.parse)),
      m_reservation(std::move(budget)),
      m_output(std::move(output_budget)) {
  m_connection->SetReadSize(kShortReadBytes);
}

ServerConnection::~ServerConnection() {
  SetWaiting(false);
  DropExchange();
  m_connection->Close();
}

void ServerConnection::Start() {
  BeginIdleTime();
  m_now = m_idle_since;
  m_connection->SetHandlers(
      TcpConnection::Handlers{.connected = nullptr,
                              .received = [this] { OnReceived(); },
                              .ended = [this](ConnectionEnd) { OnEnded(); },
                              .flushed = [this] { OnFlushed(); }});
}

void ServerConnection::BeginIdleTime() {
  m_idle_since = m_clock.Now();
  m_idle_timeout = m_limits.idle_timeout;
}

void ServerConnection::SetLimits(const ServerLimits& limits) {
  m_limits = limits;
  m_idle_timeout = std::max(m_idle_timeout, limits.idle_timeout);
  if (!m_parser->has_started()) {
    m_parser = std::make_unique<RequestParser>(m_limits.parse);
  }
}

void ServerConnection::CheckTimeouts(TimePoint now) {
  const ServerConnectionPtr keep(this);
  m_now = now;
  if (m_closing_since && now - *m_closing_since > kMaximumClosingTime) {
    Close();
    return;
  }
  if (IsOutputOverdue(now)) {
    m_has_output_timed_out = true;
    CloseUnread();
    return;
  }
  if (m_exchange || m_is_output_full) {
    // NOTE: The end of a connection that is not read is not noticed otherwise.
    if (!m_connection->is_reading() && m_connection->HasPeerClosed()) {
      OnEnded();
    }
    return;
  }
  if (m_closing_since) {
    return;
  }
  if (!m_parser->has_started()) {
    if (m_connection->unsent_bytes() > 0) {
      BeginIdleTime();
      return;
    }
    // NOTE: The event loop may run this check before it has read what arrived
    // in time.
    if (now - m_idle_since > m_idle_timeout && !HasPendingInput()) {
      CloseIdle(CloseCause::kIdle);
    }
    return;
  }
  if (!m_request_since) {
    m_request_since = now;
  }
  if (m_waiting_since) {
    if (m_connection->HasPeerClosed()) {
      Close();
      return;
    }
    m_progress_at = now;
    m_steady_at = now;
    return;
  }
  const Duration time =
      now - (m_parser->has_head() ? m_progress_at : *m_request_since);
  const Duration limit =
      m_parser->has_head() ? m_limits.body_timeout : m_limits.header_timeout;
  // NOTE: What arrived in time may not have been read yet. A client that sends
  // a little at a time gets no more than one extension.
  if (time > limit && (!HasPendingInput() || time > 2 * limit)) {
    m_body_timeouts += m_parser->has_head() ? 1 : 0;
    SendHead(408, ReasonPhrase(408), {{"Connection", "close"}}, 0);
    CloseWhenSent(CloseCause::kRefused);
  }
}

std::optional<ReceivedBody> ServerConnection::DescribeBody(bool is_long) const {
  if (m_exchange || m_closing_since || !m_parser->has_started()) {
    return std::nullopt;
  }
  ReceivedBody body{.held_bytes = m_reservation.is_long() == is_long
                                      ? m_reservation.bytes()
                                      : 0};
  if (!m_waiting_since) {
    body.stalled = m_parser->has_head() ? m_now - m_steady_at : Duration();
  } else if (m_wants_long == is_long) {
    body.waited = m_now - *m_waiting_since;
    body.wanted_bytes = m_wanted_bytes;
  } else {
    return std::nullopt;
  }
  return body;
}

std::optional<UnreadOutput> ServerConnection::DescribeOutput() const {
  if (!m_connection->is_blocked()) {
    return std::nullopt;
  }
  return UnreadOutput{.held_bytes = m_output.bytes(),
                      .stalled = m_output_progress
                                     ? m_now - m_output_progress->steady_at
                                     : Duration()};
}

void ServerConnection::CloseUnread() {
  const ServerConnectionPtr keep(this);
  NoteClose(CloseCause::kUnread);
  m_connection->Reset();
  OnEnded();
}

bool ServerConnection::IsOutputFull() const {
  return m_connection->unsent_bytes() > kMaximumUnsentBytes;
}

void ServerConnection::HoldOutput() {
  const size_t input = m_is_output_full ? m_connection->input().capacity() : 0;
  m_output.Hold(m_connection->output_capacity() + input);
}

bool ServerConnection::IsOutputOverdue(TimePoint now) {
  if (!m_connection->is_blocked()) {
    m_output_progress.reset();
    return false;
  }
  const uint64_t arrived = m_connection->ArrivedBytes();
  m_output_progress = m_output_progress
                          ? NoteArrived(*m_output_progress, arrived, now)
                          : BeginOutputProgress(arrived, now);
  return now - m_output_progress->progress_at > m_limits.output_timeout;
}

void ServerConnection::ResumeIfRoom() {
  if (!m_waiting_since || !ReserveForInput()) {
    return;
  }
  SetWaiting(false);
  m_connection->SetReading(true);
  ParseNext();
}

void ServerConnection::ResumeWithReserve() {
  m_reserve_is_long = m_wants_long;
  ResumeIfRoom();
}

void ServerConnection::SetWaiting(bool is_waiting) {
  if (is_waiting && !m_waiting_since) {
    m_waiting_since = m_now;
    m_connection->SetReading(false);
    m_reservation.budget()->AddWaiter();
  } else if (!is_waiting && m_waiting_since) {
    m_waiting_since.reset();
    m_reservation.budget()->RemoveWaiter();
  }
}

void ServerConnection::CloseWhenIdle() {
  m_closes_after_response = true;
  if (!m_closing_since && is_idle() && m_connection->input().empty() &&
      !HasPendingInput()) {
    const ServerConnectionPtr keep(this);
    CloseIdle(CloseCause::kStop);
  }
}

void ServerConnection::Displace() {
  NoteClose(CloseCause::kDisplaced);
  Close();
}

void ServerConnection::Close() {
  const ServerConnectionPtr keep(this);
  DropExchange();
  m_connection->Close();
  End();
}

void ServerConnection::Reset() {
  const ServerConnectionPtr keep(this);
  NoteClose(CloseCause::kAborted);
  DropExchange();
  m_connection->Reset();
  End();
}

void ServerConnection::RefuseUnfinishedRequest(const HttpHeaders& headers) {
  if (m_exchange || m_closing_since || !m_parser->has_started()) {
    return;
  }
  const ServerConnectionPtr keep(this);
  HttpHeaders all = headers;
  all.push_back({"Connection", "close"});
  SendHead(503, ReasonPhrase(503), all, 0);
  m_has_refused_unfinished = true;
  CloseWhenSent(CloseCause::kRefused);
}

void ServerConnection::OnReceived() {
  const ServerConnectionPtr keep(this);
  m_is_unused = false;
  if (m_exchange || m_is_output_full) {
    if (m_connection->input().size() >= kMaximumPipelinedBytes ||
        m_reservation.budget()->IsOverfull()) {
      m_connection->SetReading(false);
    }
    if (m_is_output_full) {
      HoldOutput();
    } else {
      ReserveHeld();
    }
    return;
  }
  ParseNext();
}

void ServerConnection::OnFlushed() {
  const ServerConnectionPtr keep(this);
  HoldOutput();
  if (!m_is_output_full || IsOutputFull() || m_closing_since) {
    return;
  }
  m_is_output_full = false;
  HoldOutput();
  ReadOn();
}

void ServerConnection::OnEnded() {
  const ServerConnectionPtr keep(this);
  if (m_exchange) {
    const auto on_disconnect = std::move(m_exchange->m_on_disconnect);
    DropExchange();
    if (on_disconnect) {
      on_disconnect();
    }
  }
  End();
}

void ServerConnection::ParseNext() {
  if (m_is_parsing) {
    return;
  }
  m_is_parsing = true;
  const ServerConnectionPtr keep(this);
  while (!m_exchange && !m_closing_since && m_connection->is_open() &&
         !m_connection->input().empty()) {
    // NOTE: A body is received to its end, as its client may read only then.
    if (!m_parser->has_started() && IsOutputFull()) {
      m_is_output_full = true;
      m_reservation.Release();
      HoldOutput();
      break;
    }
    std::string& input = m_connection->input();
    if (!ReserveForInput()) {
      break;
    }
    const bool had_head = m_parser->has_head();
    const ParseProgress progress = m_parser->Feed(input);
    input.erase(0, progress.consumed);
    if (m_parser->has_head() && !had_head) {
      m_head_bytes = AllocatedBytes(m_parser->head());
      m_steady_at = m_progress_at = m_now;
      m_steady_bytes = m_progress_bytes = 0;
    }
    if (progress.status == ParseStatus::kNeedsMore) {
      m_connection->SetReading(true);
      NoteProgress();
      ReserveHeld();
      if (!m_parser->has_head() && m_reservation.budget()->IsOverfull()) {
        RefuseForRoom();
      }
      break;
    }
    if (progress.status == ParseStatus::kFailed) {
      Refuse(m_parser->error());
      break;
    }
    m_closes_after_response |= !m_parser->head().keeps_connection;
    const auto body = std::make_shared<ReservedBody>(m_reservation.budget());
    body->bytes = std::move(m_parser->body);
    if (body->bytes.capacity() > body->bytes.size() + kMaximumSlackBytes) {
      Reallocate(body->bytes, body->bytes.size());
    }
    m_reservation.Release();
    body->reservation.Reserve(m_head_bytes + body->bytes.capacity(),
                              body->bytes.capacity());
    if (!body->reservation.is_long() && m_reservation.budget()->IsOverfull()) {
      RefuseForRoom();
      break;
    }
    m_exchange = new ServerExchange(*this, std::move(m_parser->head()),
                                    SharedBytes(body, &body->bytes));
    m_parser = std::make_unique<RequestParser>(m_limits.parse);
    m_head_bytes = 0;
    m_reserve_is_long.reset();
    m_connection->SetReadSize(kShortReadBytes);
    m_read_bytes = 0;
    ReserveHeld();
    m_request_since.reset();
    // NOTE: Copied because the handler may respond, which releases m_exchange.
    const ServerExchangePtr exchange = m_exchange;
    ++m_close.requests;
    try {
      m_on_request(exchange);
    } catch (...) {
      m_is_parsing = false;
      EndFailedExchange(exchange);
      throw;
    }
  }
  m_is_parsing = false;
}

bool ServerConnection::ReserveForInput() {
  std::string& body = m_parser->body;
  const size_t input = m_connection->input().size();
  if (!m_parser->has_head()) {
    return true;
  }
  // NOTE: What is decoded is never longer than what was received, and the
  // parser stops at the limit.
  const std::optional<uint64_t> remaining = m_parser->remaining_length();
  const size_t limit =
      remaining ? body.size() + *remaining : size_t{m_limits.parse.body_bytes};
  const size_t needed = std::min(body.size() + input, limit);
  size_t allocated = body.capacity();
  if (needed > allocated) {
    allocated = std::clamp(2 * allocated, needed, std::max(needed, limit));
  }
  const size_t read_bytes =
      allocated > kShortBodyBytes ? kMaximumReadBytes : kShortReadBytes;
  const size_t others = m_head_bytes + m_connection->input().capacity();
  const auto try_reserve = [&](size_t body_bytes) {
    return m_reservation.TryReserve(
        others + body_bytes + read_bytes, body_bytes,
        m_reserve_is_long == (body_bytes > kShortBodyBytes));
  };
  const size_t least = std::max(needed, body.capacity());
  if (!try_reserve(allocated)) {
    allocated = least;
    if (!try_reserve(least)) {
      m_wants_long = least > kShortBodyBytes;
      m_wanted_bytes =
          others + least + read_bytes -
          (m_reservation.is_long() == m_wants_long ? m_reservation.bytes() : 0);
      if (m_reserve_is_long != m_wants_long) {
        m_reserve_is_long.reset();
      }
      SetWaiting(true);
      return false;
    }
  }
  m_read_bytes = read_bytes;
  m_connection->SetReadSize(read_bytes);
  if (allocated > body.capacity()) {
    Reallocate(body, allocated);
  }
  return true;
}

void ServerConnection::RefuseForRoom() {
  ++m_overfull_refusals;
  RefuseUnfinishedRequest({RetryAfterHeader(kNoRoomRetryAfter)});
}

void ServerConnection::ReserveHeld() {
  if (m_connection->input().empty()) {
    m_connection->input() = std::string();
  }
  const size_t body = m_parser->body.capacity();
  m_reservation.Reserve(
      m_head_bytes + body + m_connection->input().capacity() + m_read_bytes,
      body);
}

void ServerConnection::NoteProgress() {
  const size_t size = m_parser->body.size();
  if (size >= m_steady_bytes + kSteadyBytes) {
    m_steady_bytes = size;
    m_steady_at = m_now;
  }
  if (size >= m_progress_bytes + kMinimumBodyProgress) {
    m_progress_bytes = size;
    m_progress_at = m_now;
  }
}

void ServerConnection::Refuse(ParseError error) {
  int status = 400;
  if (error == ParseError::kHeaderTooLarge) {
    status = 431;
  } else if (error == ParseError::kBodyTooLarge) {
    status = 413;
  }
  SendHead(status, ReasonPhrase(status), {{"Connection", "close"}}, 0);
  CloseWhenSent(CloseCause::kRefused);
}

void ServerConnection::SendHead(int status,
                                std::string_view reason,
                                const HttpHeaders& headers,
                                std::optional<size_t> body_size,
                                bool accepts_chunks) {
  HttpHeaders all = headers;
  if (body_size) {
    all.push_back({"Content-Length", std::to_string(*body_size)});
  } else if (accepts_chunks) {
    all.push_back({"Transfer-Encoding", "chunked"});
  }
  if (m_closes_after_response && FindHeader(headers, "Connection") == nullptr) {
    all.push_back({"Connection", "close"});
  }
  m_has_announced_close = FindHeader(all, "Connection") != nullptr;
  const auto kept = std::chrono::floor<std::chrono::seconds>(
      m_limits.idle_timeout * kAnnouncedIdlePercent / 100);
  if (m_limits.announces_idle_timeout && !m_has_announced_close &&
      kept.count() > 0) {
    all.push_back({"Keep-Alive", fmt::format("timeout={}", kept.count())});
  }
  std::string head;
  AppendResponseHead(head, status, reason, all);
  m_connection->Send(head);
  HoldOutput();
}

void ServerConnection::FinishExchange() {
  const ServerConnectionPtr keep(this);
  DropExchange();
  BeginIdleTime();
  // NOTE: The client may reuse the connection unless it was told otherwise.
  if (m_closes_after_response && m_has_announced_close) {
    CloseWhenSent(CloseCause::kResponse);
    return;
  }
  ReadOn();
}

void ServerConnection::ReadOn() {
  if (m_connection->input().size() < kMaximumPipelinedBytes) {
    m_connection->SetReading(true);
  }
  ParseNext();
}

void ServerConnection::EndFailedExchange(const ServerExchangePtr& exchange) {
  const auto on_disconnect = std::move(exchange->m_on_disconnect);
  m_closes_after_response = true;
  if (exchange->has_begun()) {
    exchange->Abort();
  } else {
    exchange->Respond(500, {}, "");
  }
  if (on_disconnect) {
    on_disconnect();
  }
}

void ServerConnection::DropExchange() {
  if (m_exchange) {
    m_exchange->m_connection = nullptr;
    m_exchange.reset();
  }
}

void ServerConnection::NoteClose(CloseCause cause) {
  m_close.cause = cause;
  m_close.idle = m_clock.Now() - m_idle_since;
  m_close.had_pending_input = m_connection->HasPendingInput();
}

ConnectionClose ServerConnection::DescribeClose() const {
  ConnectionClose close = m_close;
  close.dropped_bytes = m_connection->dropped_bytes();
  return close;
}

void ServerConnection::CloseWhenSent(CloseCause cause) {
  const ServerConnectionPtr keep(this);
  NoteClose(cause);
  m_closing_since = m_now;
  // What is still received belongs to no request; it is read and dropped.
  m_parser = std::make_unique<RequestParser>(m_limits.parse);
  m_connection->input() = std::string();
  m_reservation.Release();
  SetWaiting(false);
  m_reserve_is_long.reset();
  m_is_output_full = false;
  HoldOutput();
  m_connection->SetReading(true);
  if (!m_connection->is_open()) {
    End();
    return;
  }
  // NOTE: The owner keeps this connection until then, as its destruction would
  // discard what is not sent yet.
  m_connection->CloseWhenSent(kLinger, [this] {
    const ServerConnectionPtr closed(this);
    End();
  });
}

void ServerConnection::CloseIdle(CloseCause cause) {
  const bool is_delivered = m_connection->unsent_bytes() == 0 &&
                            m_clock.Now() - m_idle_since >= kLinger;
  if (is_delivered) {
    NoteClose(cause);
    Close();
    return;
  }
  CloseWhenSent(cause);
  // NOTE: A request that crosses the close stays unread. The reset of the
  // connection then tells its client that it was not handled.
  m_connection->SetReading(false);
}

void ServerConnection::End() {
  SetWaiting(false);
  m_reserve_is_long.reset();
  m_reservation.Release();
  m_output.Hold(0);
  const EndHandler on_end = std::exchange(m_on_end, nullptr);
  if (on_end) {
    on_end(*this);
  }
}

}  // namespace pistachiowalk
