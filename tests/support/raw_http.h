#pragma once

#include <cstdint>
#include <string>

namespace pistachiowalk::testing {

// Sends `bytes` unchanged to 127.0.0.1:`port`. Returns what is received until
// the peer closes the connection or no byte arrives for `timeout_ms`.
std::string Exchange(uint16_t port,
                     const std::string& bytes,
                     int timeout_ms = 5000);

// Sends `bytes` and closes the connection once the response contains
// `until_text`.
std::string ExchangeUntil(uint16_t port,
                          const std::string& bytes,
                          const std::string& until_text);

// Formats a request with "Connection: close". `headers` are complete lines that
// end in CRLF.
std::string HttpRequest(const std::string& method,
                        const std::string& path,
                        const std::string& headers,
                        const std::string& body);

// Formats a request with HttpRequest() and sends it with Exchange().
std::string Call(uint16_t port,
                 const std::string& method,
                 const std::string& path,
                 const std::string& headers = "",
                 const std::string& body = "");

// Returns the status code of an HTTP response, 0 when there is none.
int StatusOf(const std::string& response);

}  // namespace pistachiowalk::testing
