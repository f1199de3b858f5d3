#pragma once

#include <string>
#include <string_view>

#include "net/http_headers.h"

namespace pistachiowalk {

// Appends a request line with its headers and the blank line.
void AppendRequestHead(std::string& out,
                       std::string_view method,
                       std::string_view target,
                       const HttpHeaders& headers);

// Appends a status line with its headers and the blank line.
void AppendResponseHead(std::string& out,
                        int status,
                        std::string_view reason,
                        const HttpHeaders& headers);

// Appends `bytes` as one chunk; nothing when it is empty.
void AppendChunk(std::string& out, std::string_view bytes);

// Ends a chunked body.
void AppendLastChunk(std::string& out);

// The usual reason phrase of a status, or "Unknown".
std::string_view ReasonPhrase(int status);

// Whether a header concerns one connection only and is not passed on
// (RFC 9110, 7.6.1). Headers that `Connection` names are the caller's to drop.
bool IsHopByHopHeader(std::string_view name);

}  // namespace pistachiowalk
