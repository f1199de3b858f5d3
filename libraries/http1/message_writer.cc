#include "http1/message_writer.h"

#include <fmt/format.h>

#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>
#include <iterator>

namespace pistachiowalk {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
    "connection", "keep-alive",     "proxy-connection",
    "te",         "trailer",        "transfer-encoding",
    "upgrade",    "content-length", "proxy-authorization"};

void AppendHeaders(std::string& out, const HttpHeaders& headers) {
  for (const HttpHeader& header : headers) {
    out += header.name;
    out += ": ";
    out += header.value;
    out += "\r\n";
  }
  out += "\r\n";
}

}  // namespace

void AppendRequestHead(std::string& out,
                       std::string_view method,
                       std::string_view target,
                       const HttpHeaders& headers) {
  out += method;
  out += ' ';
  out += target;
  out += " HTTP/1.1\r\n";
  AppendHeaders(out, headers);
}

void AppendResponseHead(std::string& out,
                        int status,
                        std::string_view reason,
                        const HttpHeaders& headers) {
  fmt::format_to(std::back_inserter(out), "HTTP/1.1 {} {}\r\n", status, reason);
  AppendHeaders(out, headers);
}

void AppendChunk(std::string& out, std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  fmt::format_to(std::back_inserter(out), "{:x}\r\n", bytes.size());
  out += bytes;
  out += "\r\n";
}

void AppendLastChunk(std::string& out) {
  out += "0\r\n\r\n";
}

HttpHeader RetryAfterHeader(Duration wait) {
  return HttpHeader{.name = "Retry-After",
                    .value = fmt::format(
                        "{:.3f}", std::chrono::duration<double>(wait).count())};
}

std::string_view ReasonPhrase(int status) {
  const auto text = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {text.data(), text.size()};
}

bool IsHopByHopHeader(std::string_view name) {
  for (const std::string_view known : kHopByHopHeaders) {
    if (boost::beast::iequals({known.data(), known.size()},
                              {name.data(), name.size()})) {
      return true;
    }
  }
  return false;
}

}  // namespace pistachiowalk
