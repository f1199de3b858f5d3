#include "http1/message_parser.h"

#include <algorithm>
#include <string>
#include <vector>

#include "http1/message_writer.h"
#include "support/cpu_cost.h"
#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

constexpr ParseLimits kLimits{.header_bytes = 2048, .body_bytes = 4096};

struct RejectedCase {
  const char* name;
  std::string bytes;
  ParseError error;
};

std::string Chunked(const std::string& chunks) {
  return "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
         chunks;
}

std::string Repeat(const std::string& text, size_t times) {
  std::string result;
  for (size_t i = 0; i < times; ++i) {
    result += text;
  }
  return result;
}

const std::vector<RejectedCase>& RejectedCases() {
  static const std::vector<RejectedCase> cases = {
      {"a length and a transfer coding",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       ParseError::kMalformed},
      {"a transfer coding and a length",
       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
       "Content-Length: 3\r\n\r\n0\r\n\r\n",
       ParseError::kMalformed},
      {"two equal lengths",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
       "Content-Length: 1\r\n\r\nx",
       ParseError::kMalformed},
      {"a list of lengths",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\nx",
       ParseError::kMalformed},
      {"a signed length",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\nx",
       ParseError::kMalformed},
      {"an unknown coding",
       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, "
       "chunked\r\n\r\n0\r\n\r\n",
       ParseError::kMalformed},
      {"a blank before the colon",
       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n",
       ParseError::kMalformed},
      {"a bare line end", "GET / HTTP/1.1\nHost: a\n\n",
       ParseError::kMalformed},
      {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
       ParseError::kMalformed},
      {"no host", "GET / HTTP/1.1\r\nAccept: x\r\n\r\n",
       ParseError::kMalformed},
      {"a header that is too long",
       "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(4000, 'x') + "\r\n\r\n",
       ParseError::kHeaderTooLarge},
      {"a body that is too long",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n",
       ParseError::kBodyTooLarge},
      {"chunks that are too long together",
       Chunked("bb8\r\n" + std::string(3000, 'x') + "\r\nbb8\r\n"),
       ParseError::kBodyTooLarge},
      {"a chunk's size that overflows", Chunked("10000000000000001\r\nx"),
       ParseError::kMalformed},
      {"a chunk's size that is not one", Chunked("0x1\r\n\r\n"),
       ParseError::kMalformed},
      {"a chunk's size with zeros without end", Chunked(std::string(3000, '0')),
       ParseError::kHeaderTooLarge},
      {"many extensions",
       Chunked(Repeat("1;a=" + std::string(500, 'a') + "\r\nx\r\n", 5)),
       ParseError::kHeaderTooLarge},
  };
  return cases;
}

// Feeds a message in pieces of `size` bytes. Returns what is left of it.
std::string FeedInPieces(RequestParser& parser,
                         const std::string& bytes,
                         size_t size) {
  std::string pending;
  for (size_t at = 0; at < bytes.size(); at += size) {
    pending.append(bytes, at, size);
    const ParseProgress progress = parser.Feed(pending);
    pending.erase(0, progress.consumed);
    if (progress.status != ParseStatus::kNeedsMore) {
      return pending + bytes.substr(std::min(bytes.size(), at + size));
    }
  }
  return pending;
}

}  // namespace

Test(message_parser, rejects_ambiguous_and_oversized_requests) {
  for (const RejectedCase& item : RejectedCases()) {
    RequestParser parser(kLimits);
    cr_assert(parser.Feed(item.bytes).status == ParseStatus::kFailed, "%s",
              item.name);
    cr_assert(parser.error() == item.error, "%s", item.name);
  }
}

Test(message_parser, chunks_of_one_byte_and_sizes_with_zeros_are_joined) {
  RequestParser parser(kLimits);
  const std::string bytes =
      Chunked(Repeat("1\r\nx\r\n", 3000) + "0003;a=b\r\nabc\r\n0\r\n\r\n");
  cr_assert(parser.Feed(bytes).status == ParseStatus::kDone);
  cr_assert(parser.body == std::string(3000, 'x') + "abc");
}

Test(message_parser, a_message_parses_the_same_in_pieces_of_any_size) {
  const std::string bytes =
      "POST /a?b=c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n";
  for (size_t size = 1; size <= bytes.size(); ++size) {
    RequestParser parser(kLimits);
    std::string pending;
    ParseStatus status = ParseStatus::kNeedsMore;
    for (size_t at = 0; at < bytes.size(); at += size) {
      pending += bytes.substr(at, size);
      const ParseProgress progress = parser.Feed(pending);
      pending.erase(0, progress.consumed);
      status = progress.status;
    }
    cr_assert(status == ParseStatus::kDone);
    cr_assert(parser.body == "abcdefg");
    cr_assert(parser.head().target == "/a?b=c");
    cr_assert(pending.empty());
  }
}

Test(message_parser, bytes_of_the_next_request_are_not_consumed) {
  RequestParser parser(kLimits);
  const std::string first = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";
  const ParseProgress progress =
      parser.Feed(first + "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(progress.status == ParseStatus::kDone);
  cr_assert(progress.consumed == first.size());
}

Test(message_parser, a_response_without_length_ends_with_the_connection) {
  ResponseParser parser(kLimits);
  cr_assert(parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc").status ==
            ParseStatus::kNeedsMore);
  cr_assert(parser.head().framing == BodyFraming::kUntilClose);
  cr_assert(parser.FeedEnd() == ParseStatus::kDone);
  cr_assert(parser.body == "abc");
}

Test(message_parser, a_response_that_ends_early_is_truncated) {
  for (const char* bytes :
       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\nConte", ""}) {
    ResponseParser parser(kLimits);
    parser.Feed(bytes);
    cr_assert(parser.FeedEnd() == ParseStatus::kFailed);
    cr_assert(parser.error() == ParseError::kTruncated);
  }
}

Test(message_parser, a_written_response_parses_back) {
  std::string bytes;
  AppendResponseHead(
      bytes, 503, ReasonPhrase(503),
      {{"Retry-After", "0.2"}, {"Transfer-Encoding", "chunked"}});
  AppendChunk(bytes, "abc");
  AppendChunk(bytes, "");
  AppendLastChunk(bytes);
  ResponseParser parser(kLimits);
  cr_assert(parser.Feed(bytes).status == ParseStatus::kDone);
  cr_assert(parser.head().status == 503);
  cr_assert(parser.body == "abc");
}

// A peer in trouble sends without end what the parser has to hold completely.
Test(message_parser, parts_without_end_are_rejected) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& begin :
       {std::string("HTTP/1.1 200 "), std::string("HTTP/1.1 200 OK\r\nX: "),
        head + "5;x=", head + "000000", head + "0\r\nX: "}) {
    ResponseParser parser(kLimits);
    std::string input = begin;
    ParseProgress progress;
    size_t fed = 0;
    while (progress.status == ParseStatus::kNeedsMore && fed < 64 * 1024) {
      input.append(512, '0');
      fed += 512;
      progress = parser.Feed(input);
      input.erase(0, progress.consumed);
      cr_assert(parser.body.size() <= kLimits.body_bytes);
    }
    cr_assert(progress.status == ParseStatus::kFailed, "%s", begin.c_str());
    cr_assert(fed <= 4 * kLimits.header_bytes, "%s: %zu", begin.c_str(), fed);
  }
}

Test(message_parser, many_trailers_are_rejected) {
  ResponseParser parser(kLimits);
  std::string input =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
  ParseProgress progress;
  for (int i = 0; i < 1000 && progress.status == ParseStatus::kNeedsMore; ++i) {
    input += "X-Trailer: some more text\r\n";
    progress = parser.Feed(input);
    input.erase(0, progress.consumed);
  }
  cr_assert(progress.status == ParseStatus::kFailed);
}

Test(message_parser, a_status_out_of_range_is_accepted) {
  const auto parse = [](const std::string& status) {
    ResponseParser parser{ParseLimits{}};
    return parser
        .Feed("HTTP/1.1 " + status + " Text\r\nContent-Length: 0\r\n\r\n")
        .status;
  };
  for (const char* status : {"000", "001", "099", "600", "999"}) {
    cr_assert(parse(status) == ParseStatus::kFailed, "%s", status);
  }
  for (const char* status : {"100", "200", "421", "599"}) {
    cr_assert(parse(status) == ParseStatus::kDone, "%s", status);
  }
}

Test(message_parser,
     trailers_in_small_pieces_cost_the_square_of_the_last_line) {
  constexpr ParseLimits kLongLimits{.header_bytes = 16384};
  const auto cost = [&](size_t size) {
    const std::string bytes =
        Chunked("0;" + std::string(size, 'a') +
                "\r\nX: " + std::string(size, 'b') + "\r\n\r\n");
    return testing::LeastCpuSeconds([&] {
      RequestParser parser(kLongLimits);
      FeedInPieces(parser, bytes, 1);
    });
  };
  constexpr size_t kSize = 1000;
  const double shorter = cost(kSize);
  const double longer = cost(testing::kLonger * kSize);
  cr_log_info("%.3f ms and %.3f ms", shorter * 1e3, longer * 1e3);
  cr_assert(longer <= testing::kMaximumGrowth * shorter);
}

Test(message_parser, trailers_parse_differently_in_pieces) {
  const std::string next = "GET / HTTP/1.1\r\n\r\n";
  std::vector<std::string> messages;
  for (const char* chunks :
       {"0\r\n\r\n", "0;a=b\r\n\r\n", "000\r\nX: a\r\nY: b\r\n\r\n",
        "2;a\r\n\r\n\r\n0;b=\"c\"\r\nX: a\r\n\r\n", "1\r\n\r\r\n0\r\n\r\n",
        "1\r\n\n\r\n1\r\n\r\r\n0\r\nX: \r\n\r\n",
        "1\r\nx\r\n0\r\nX : a\r\n\r\n", "0\r\n: a\r\n\r\n", "0\r\nX\r\n\r\n",
        "0;\r\nX: a\r\n\r\n", "\r\n0\r\n\r\n", "1\r\nxx\r\n0\r\n\r\n",
        "0\rX: a\r\n\r\n", "0\r\nX: a\r\rY: b\r\n\r\n", "0\nX: a\r\n\r\n",
        "g\r\n\r\n", "1\r\nx0\r\ng", "0\r\nX: a\r\n b\r\n\r\n",
        "0\r\nX: a\n\nY: b\r\n\r\n"}) {
    messages.push_back(Chunked(chunks));
    messages.push_back(Chunked(chunks) + next);
  }
  for (const std::string& bytes : messages) {
    RequestParser whole(kLimits);
    const std::string left = FeedInPieces(whole, bytes, bytes.size());
    for (size_t size = 1; size < bytes.size(); ++size) {
      RequestParser parser(kLimits);
      const std::string left_of_pieces = FeedInPieces(parser, bytes, size);
      cr_assert(parser.error() == whole.error(), "%s: %zu", bytes.c_str(),
                size);
      if (whole.error() == ParseError::kNone) {
        cr_assert(left_of_pieces == left, "%s: %zu", bytes.c_str(), size);
        cr_assert(parser.body == whole.body, "%s: %zu", bytes.c_str(), size);
      }
    }
  }
}
