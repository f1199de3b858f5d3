#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "load/latency_samples.h"
#include "net/event_stream_decoder.h"
#include "net/http_client.h"

namespace pistachiowalk {

// Parameters of one streaming request.
struct StreamRequest {
  // Base URL of the entry node or engine that receives the first request.
  std::string url;
  // Returns the base URL at which to resume an interrupted stream. If unset,
  // streams are not resumed.
  std::function<std::string()> next_url;
  std::string customer_key;
  std::string service;
  // Text of the only message.
  std::string prompt;
  uint64_t tokens = 0;
};

enum class StreamOutcome {
  // Every token was received once, in order, with the expected text.
  kComplete,
  // Rejected before the first token.
  kRefused,
  // A token was missing, duplicated or different from the expected one.
  kWrongTokens,
  // Ended by an error that was reported to the client.
  kReportedProblem,
  // Ended after it was accepted, without a reported error.
  kBroken,
};

// The result of one stream as seen by the client.
struct StreamReport {
  StreamOutcome outcome = StreamOutcome::kRefused;
  Duration time_to_first_token{};
  LatencySamples token_gaps;
  uint64_t tokens = 0;
  // Number of interruptions after which the stream was resumed, and the longest
  // gap between an interruption and the next token.
  uint64_t resumes = 0;
  Duration longest_resume_gap{};
  std::string request_id;
  std::string detail;
};

// Returns the expected text of the token at `index` in the response to a
// request with the serialized `messages`.
using ExpectedToken =
    std::function<std::string(const std::string& messages, uint64_t index)>;

// A client that receives one stream and checks every token.
class StreamClient : public std::enable_shared_from_this<StreamClient> {
 public:
  using DoneCallback = std::function<void(const StreamReport& report)>;

  StreamClient(StreamRequest request,
               ExpectedToken expected,
               DoneCallback on_done);

  void Start(EventLoop& loop, HttpClient& client);

 private:
  void Send(HttpCallOptions options);
  void Resume();
  bool CanResume(const HttpCallResult& result) const;
  void OnHeaders(int status, const HttpHeaders& headers);
  void OnData(std::string_view data);
  void OnEvent(const StreamEvent& event);
  void OnDone(const HttpCallResult& result);
  void OnToken(uint64_t index, const std::string& text);

  StreamRequest m_request;
  ExpectedToken m_expected;
  DoneCallback m_on_done;
  std::string m_messages;
  EventStreamDecoder m_decoder;
  StreamReport m_report;
  TimePoint m_started_at;
  TimePoint m_last_token_at;
  EventLoop* m_loop = nullptr;
  HttpClient* m_client = nullptr;
  TimePoint m_interrupted_at;
  int m_status = 0;
  uint64_t m_resume_attempts = 0;
  bool m_is_resuming = false;
  bool m_is_finished = false;
  bool m_has_wrong_token = false;
  bool m_has_problem = false;
};

}  // namespace pistachiowalk
