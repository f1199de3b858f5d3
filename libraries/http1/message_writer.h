#pragma once

#include <string>
#include <string_view>

#include "base/clock.h"
#include "net/http_headers.h"

namespace pistachiowalk {

// Appends a request line, the headers and the terminating blank line.
void AppendRequestHead(std::string& out,
                       std::string_view method,
                       std::string_view target,
                       const HttpHeaders& headers);

// Appends a status line, the headers and the terminating blank line.
void AppendResponseHead(std::string& out,
                        int status,
                        std::string_view reason,
                        const HttpHeaders& headers);

// Appends `bytes` as one chunk; appends nothing if it is empty.
void AppendChunk(std::string& out, std::string_view bytes);

// Appends the chunk that ends a chunked body.
void AppendLastChunk(std::string& out);

// The header that tells a client when to return: seconds with a fraction.
HttpHeader RetryAfterHeader(Duration wait);

// The standard reason phrase of a status code.
std::string_view ReasonPhrase(int status);

// Whether a header applies to a single connection and must not be forwarded
// (RFC 9110, 7.6.1). Callers must drop the headers named by `Connection`
// themselves.
bool IsHopByHopHeader(std::string_view name);

}  // namespace pistachiowalk
