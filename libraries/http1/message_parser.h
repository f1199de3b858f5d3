#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http1/message_head.h"

// Parsing of HTTP/1.1 messages with Boost.Beast, independent of sockets.
// Applies size limits and the strict framing rules that persistent connections
// need.
namespace pistachiowalk {

enum class ParseStatus : uint8_t {
  kNeedsMore,
  kDone,
  // The bytes are not a valid message; see MessageParser::error().
  kFailed,
};

enum class ParseError : uint8_t {
  kNone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
  // The connection ended within the message.
  kTruncated,
};

struct ParseLimits {
  // Size of the head, and of each other part that is parsed as a whole: the
  // header of a chunk, and all trailers together. Also that of all chunk
  // extensions of a request.
  uint32_t header_bytes = 64 * 1024;
  uint64_t body_bytes = 8 * 1024 * 1024;
};

struct ParseProgress {
  size_t consumed = 0;
  ParseStatus status = ParseStatus::kNeedsMore;
};

// Incremental parser for one message. Feed() appends the decoded body to
// `body`, which the owner may clear between calls. Ambiguous framing (two
// lengths, a length with a transfer coding, any coding but "chunked") is
// rejected to prevent request smuggling, where two peers disagree on where a
// message ends.
template <bool kIsRequest>
class MessageParser final
    : private boost::beast::http::basic_parser<kIsRequest> {
  using Base = boost::beast::http::basic_parser<kIsRequest>;
  using string_view = boost::beast::string_view;
  using error_code = boost::beast::error_code;

 public:
  using Head = std::conditional_t<kIsRequest, RequestHead, ResponseHead>;

  explicit MessageParser(const ParseLimits& limits);

  // NOTE: Bytes that were not consumed belong to the next message if the status
  // is kDone; otherwise they must be fed again, followed by further bytes.
  ParseProgress Feed(std::string_view bytes);
  // Signals that the peer has closed the connection in an orderly way.
  ParseStatus FeedEnd();
  // The response has no body, whatever its headers say.
  void ExpectNoBody() { Base::skip(true); }

  bool has_head() const { return m_has_head; }
  bool has_started() const { return m_has_started; }
  const Head& head() const { return m_head; }
  Head& head() { return m_head; }
  ParseError error() const { return m_error; }
  // Bytes of the body that are still to come, if its length is announced.
  std::optional<uint64_t> remaining_length();

  std::string body;

 private:
  void on_request_impl(boost::beast::http::verb method,
                       string_view method_text,
                       string_view target,
                       int version,
                       error_code& error) override;
  void on_response_impl(int code,
                        string_view reason,
                        int version,
                        error_code& error) override;
  void on_field_impl(boost::beast::http::field field,
                     string_view name,
                     string_view value,
                     error_code& error) override;
  void on_header_impl(error_code& error) override;
  void on_body_init_impl(const boost::optional<uint64_t>& content_length,
                         error_code& error) override;
  size_t on_body_impl(string_view bytes, error_code& error) override;
  void on_chunk_header_impl(uint64_t size,
                            string_view extensions,
                            error_code& error) override;
  size_t on_chunk_body_impl(uint64_t remain,
                            string_view bytes,
                            error_code& error) override;
  void on_finish_impl(error_code& error) override;
  bool HasIncompleteTrailers(std::string_view pending) const;
  void NotePending(std::string_view pending);
  void Fail(const error_code& error);

  size_t m_header_bytes;
  size_t m_trailer_bytes = 0;
  size_t m_extension_bytes = 0;
  // Bytes not consumed that were searched for the end of the line or, after the
  // line of the last chunk, for that of the trailers.
  size_t m_searched_bytes = 0;
  Head m_head;
  ParseError m_error = ParseError::kNone;
  bool m_has_head = false;
  bool m_has_started = false;
  bool m_has_chunk = false;
  bool m_awaits_trailers = false;
  uint32_t m_framing_headers = 0;
  uint32_t m_host_headers = 0;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

extern template class MessageParser<true>;
extern template class MessageParser<false>;

}  // namespace pistachiowalk
