#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "net/http_headers.h"

namespace pistachiowalk {

// How the end of a message body is determined.
enum class BodyFraming : uint8_t {
  kNone,
  kContentLength,
  kChunked,
  // The body ends when the connection is closed.
  kUntilClose,
};

struct RequestHead {
  std::string method;
  std::string target;
  HttpHeaders headers;
  BodyFraming framing = BodyFraming::kNone;
  bool keeps_connection = true;
  // The client speaks HTTP/1.1, so that it understands chunks.
  bool accepts_chunks = true;

  friend bool operator==(const RequestHead&, const RequestHead&) = default;
};

struct ResponseHead {
  int status = 0;
  std::string reason;
  HttpHeaders headers;
  BodyFraming framing = BodyFraming::kNone;
  // Set when `framing` is kContentLength.
  uint64_t content_length = 0;
  bool keeps_connection = true;

  friend bool operator==(const ResponseHead&, const ResponseHead&) = default;
};

}  // namespace pistachiowalk
