#pragma once

#include <string>

#include "platform/header_line.h"
#include "platform/header_names.h"

// Responses of ScriptedEndpoint.
namespace pistachiowalk::testing {

inline const std::string kLastChunk = "0\r\n\r\n";

// The head of a chunked event stream with one chunk.
inline std::string StreamHead(const std::string& events) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string size;
  for (size_t rest = events.size(); rest > 0; rest /= 16) {
    size.insert(size.begin(), kDigits[rest % 16]);
  }
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
         HeaderLine(platform::kAttemptIdHeader, "{id}") +
         HeaderLine(platform::kServerSealHeader, "s") +
         "Transfer-Encoding: "
         "chunked\r\n\r\n" +
         size + "\r\n" + events + "\r\n";
}

}  // namespace pistachiowalk::testing
