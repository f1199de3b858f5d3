#pragma once

#include <cstdint>
#include <string>

namespace pistachiowalk::testing {

// Sends `bytes` as they are to 127.0.0.1:`port` and returns all that comes
// back until the peer closes or `timeout_ms` passes without a byte.
std::string Exchange(uint16_t port,
                     const std::string& bytes,
                     int timeout_ms = 5000);

// Sends `bytes` and breaks the connection off once the answer holds `part`.
std::string ExchangeUntil(uint16_t port,
                          const std::string& bytes,
                          const std::string& until_text);

// A well-formed request with "Connection: close". `headers` are whole lines
// with their line ends.
std::string HttpRequest(const std::string& method,
                        const std::string& path,
                        const std::string& headers,
                        const std::string& body);

// Exchange() of HttpRequest().
std::string Call(uint16_t port,
                 const std::string& method,
                 const std::string& path,
                 const std::string& headers = "",
                 const std::string& body = "");

// The status of an HTTP answer, 0 when it is none.
int StatusOf(const std::string& response);

}  // namespace pistachiowalk::testing
