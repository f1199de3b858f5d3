#include "http1/message_parser.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>

namespace pistachiowalk {
namespace {

namespace http = boost::beast::http;

std::string_view ToStd(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

template <bool kIsRequest>
MessageParser<kIsRequest>::MessageParser(const ParseLimits& limits)
    : m_header_bytes(limits.header_bytes) {
  Base::header_limit(limits.header_bytes);
  Base::body_limit(limits.body_bytes);
  Base::eager(true);
}

template <bool kIsRequest>
ParseProgress MessageParser<kIsRequest>::Feed(std::string_view bytes) {
  ParseProgress progress;
  while (m_error == ParseError::kNone && !Base::is_done()) {
    if (progress.consumed == bytes.size()) {
      return progress;
    }
    m_has_started = true;
    error_code error;
    std::string_view pending = bytes.substr(progress.consumed);
    if (HasIncompleteTrailers(pending)) {
      error = http::error::need_more;
    } else {
      const size_t used = Base::put(
          boost::asio::const_buffer(pending.data(), pending.size()), error);
      progress.consumed += used;
      pending.remove_prefix(used);
      if (used > 0) {
        m_awaits_trailers = false;
        m_searched_bytes = 0;
      }
    }
    if (error == http::error::need_more) {
      NotePending(pending);
      // NOTE: Boost.Beast limits the size of the head, but not of a chunk's
      // header or of a trailer, which it parses only when they are complete.
      if (pending.size() <= m_header_bytes) {
        return progress;
      }
      error = http::error::header_limit;
    }
    if (error) {
      Fail(error);
    }
  }
  progress.status =
      m_error == ParseError::kNone ? ParseStatus::kDone : ParseStatus::kFailed;
  return progress;
}

template <bool kIsRequest>
ParseStatus MessageParser<kIsRequest>::FeedEnd() {
  if (m_error != ParseError::kNone) {
    return ParseStatus::kFailed;
  }
  if (Base::is_done()) {
    return ParseStatus::kDone;
  }
  error_code error;
  if (Base::got_some()) {
    Base::put_eof(error);
  }
  if (error || !Base::is_done()) {
    m_error = ParseError::kTruncated;
    return ParseStatus::kFailed;
  }
  return ParseStatus::kDone;
}

template <bool kIsRequest>
std::optional<uint64_t> MessageParser<kIsRequest>::remaining_length() {
  const boost::optional<uint64_t> remaining = Base::content_length_remaining();
  return remaining ? std::optional<uint64_t>(*remaining) : std::nullopt;
}

// NOTE: Boost.Beast reads the line of the last chunk again with each call until
// the trailers are complete.
template <bool kIsRequest>
bool MessageParser<kIsRequest>::HasIncompleteTrailers(
    std::string_view pending) const {
  constexpr std::string_view kEnd = "\r\n\r\n";
  return m_awaits_trailers &&
         pending.find(kEnd, m_searched_bytes -
                                std::min(m_searched_bytes, kEnd.size() - 1)) ==
             std::string_view::npos;
}

template <bool kIsRequest>
void MessageParser<kIsRequest>::NotePending(std::string_view pending) {
  if (!m_has_head) {
    return;
  }
  if (!m_awaits_trailers) {
    // The line end of the chunk before precedes the line. Only the line of the
    // last chunk stays pending once it is complete.
    constexpr std::string_view kLineEnd = "\r\n";
    const size_t line = m_has_chunk ? kLineEnd.size() : 0;
    const size_t searched =
        m_searched_bytes - std::min(m_searched_bytes, kLineEnd.size() - 1);
    m_awaits_trailers = pending.find(kLineEnd, std::max(line, searched)) !=
                        std::string_view::npos;
  }
  m_searched_bytes = pending.size();
}

template <bool kIsRequest>
void MessageParser<kIsRequest>::Fail(const error_code& error) {
  if (error == http::error::header_limit) {
    m_error = ParseError::kHeaderTooLarge;
  } else if (error == http::error::body_limit) {
    m_error = ParseError::kBodyTooLarge;
  } else {
    m_error = ParseError::kMalformed;
  }
}

template <bool kIsRequest>
void MessageParser<kIsRequest>::on_request_impl(http::verb /*method*/,
                                                string_view method_text,
                                                string_view target,
                                                int version,
                                                error_code& /*error*/) {
  constexpr int kHttp11 = 11;
  if constexpr (kIsRequest) {
    m_head.accepts_chunks = version >= kHttp11;
    m_head.method = ToStd(method_text);
    m_head.target = ToStd(target);
  }
}

template <bool kIsRequest>
void MessageParser<kIsRequest>::on_response_impl(int code,
                                                 string_view reason,
                                                 int /*version*/,
                                                 error_code& error) {
  constexpr int kLowestStatus = 100;
  constexpr int kHighestStatus = 599;
  if constexpr (!kIsRequest) {
    if (code < kLowestStatus || code > kHighestStatus) {
      error = http::error::bad_status;
      return;
    }
    m_head.status = code;
    m_head.reason = ToStd(reason);
  }
}

template <bool kIsRequest>
void MessageParser<kIsRequest>::on_field_impl(http::field field,
                                              string_view name,
                                              string_view value,
                                              error_code& error) {
  if (m_has_head) {
    m_trailer_bytes += name.size() + value.size();
    if (m_trailer_bytes > m_header_bytes) {
      error = http::error::header_limit;
    }
    return;
  }
  if (field == http::field::transfer_encoding ||
      field == http::field::content_length) {
    ++m_framing_headers;
  }
  if (field == http::field::transfer_encoding &&
      !boost::beast::iequals(value, "chunked")) {
    error = http::error::bad_transfer_encoding;
    return;
  }
  // NOTE: Boost.Beast accepts a list of equal lengths, which other
  // implementations may reject or interpret differently.
  if (field == http::field::content_length &&
      value.find_first_not_of("0123456789") != string_view::npos) {
    error = http::error::bad_content_length;
    return;
  }
  if (field == http::field::host) {
    ++m_host_headers;
  }
  m_head.headers.push_back(
      HttpHeader{std::string(ToStd(name)), std::string(ToStd(value))});
}

template <bool kIsRequest>
void MessageParser<kIsRequest>::on_header_impl(error_code& error) {
  if (m_framing_headers > 1) {
    error = http::error::bad_content_length;
    return;
  }
  if (kIsRequest && m_host_headers != 1) {
    error = http::error::bad_field;
    return;
  }
  m_has_head = true;
  m_head.keeps_connection = Base::keep_alive();
  if (Base::chunked()) {
    m_head.framing = BodyFraming::kChunked;
  } else if (Base::content_length()) {
    m_head.framing = BodyFraming::kContentLength;
    if constexpr (!kIsRequest) {
      m_head.content_length = *Base::content_length();
    }
  } else if (Base::need_eof()) {
    m_head.framing = BodyFraming::kUntilClose;
  }
}

template <bool kIsRequest>
void MessageParser<kIsRequest>::on_body_init_impl(
    const boost::optional<uint64_t>& /*content_length*/,
    error_code& /*error*/) {}

template <bool kIsRequest>
size_t MessageParser<kIsRequest>::on_body_impl(string_view bytes,
                                               error_code& /*error*/) {
  body.append(bytes.data(), bytes.size());
  return bytes.size();
}

template <bool kIsRequest>
void MessageParser<kIsRequest>::on_chunk_header_impl(uint64_t /*size*/,
                                                     string_view extensions,
                                                     error_code& error) {
  m_has_chunk = true;
  m_extension_bytes += extensions.size();
  if (kIsRequest && m_extension_bytes > m_header_bytes) {
    error = http::error::header_limit;
  }
}

template <bool kIsRequest>
size_t MessageParser<kIsRequest>::on_chunk_body_impl(uint64_t /*remain*/,
                                                     string_view bytes,
                                                     error_code& /*error*/) {
  body.append(bytes.data(), bytes.size());
  return bytes.size();
}

template <bool kIsRequest>
void MessageParser<kIsRequest>::on_finish_impl(error_code& /*error*/) {}

template class MessageParser<true>;
template class MessageParser<false>;

}  // namespace pistachiowalk
