#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"

// The JSON of POST /v1/chat/completions, as exchanged with callers and engines.
namespace pistachiowalk {

// The fields of a chat request that the daemon evaluates.
struct ChatRequest {
  ServiceName service;
  bool is_streaming = false;
  // The complete request body, which is forwarded to the engine.
  std::string body;

  friend auto operator<=>(const ChatRequest&, const ChatRequest&) = default;
};

// Describes why a chat request is malformed.
struct ChatFormatError {
  std::string detail;
};

// The content of one `data:` field of an engine's event stream.
struct EngineChunk {
  std::string text;
  // Set on the last chunk of a completion.
  std::optional<std::string> finish_reason;
  // Tokens of the whole completion; set on its last chunk.
  std::optional<uint64_t> token_count;

  friend auto operator<=>(const EngineChunk&, const EngineChunk&) = default;
};

// Errors: ChatFormatError with the offending member and the expected value.
boost::leaf::result<ChatRequest> ParseChatRequest(std::string_view body);

// Returns the body for the engine: the caller's body with streaming enabled
// and, if `resume_from` is not zero, that token index and the text generated
// before it.
std::string EngineRequestBody(const ChatRequest& request,
                              uint64_t resume_from,
                              std::string_view resume_text);

// Returns nullopt if `data` is not a chat completion chunk.
std::optional<EngineChunk> ParseEngineChunk(std::string_view data);

// Returns the server-sent event for one token. Its event id is the token index.
std::string TokenEvent(const RequestId& request,
                       const ServiceName& service,
                       uint64_t index,
                       std::string_view text);
// Returns the last events of a caller's stream: the finish reason and [DONE].
std::string EndEvents(const RequestId& request,
                      const ServiceName& service,
                      uint64_t token_count,
                      std::string_view finish_reason);
// Returns the event for an error after the stream has started.
// `problem_document` is JSON.
std::string ErrorEvent(std::string_view problem_document);
// Returns the response body for a request that does not stream.
std::string CompletionDocument(const RequestId& request,
                               const ServiceName& service,
                               uint64_t token_count,
                               std::string_view text,
                               std::string_view finish_reason);

}  // namespace pistachiowalk
