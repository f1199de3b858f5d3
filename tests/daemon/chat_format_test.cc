#include "daemon/chat_format.h"

#include "support/criterion.h"

using namespace pistachiowalk;
namespace leaf = boost::leaf;

namespace {

bool IsRejected(const char* body) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(ParseChatRequest(body));
        return false;
      },
      [](const ChatFormatError& error) { return !error.detail.empty(); },
      [] { return false; });
}

}  // namespace

Test(chat_format, rejects_malformed_requests) {
  for (const char* body : {"", "{", "[]", "{}", R"({"model":1,"messages":[1]})",
                           R"({"model":"m"})", R"({"model":"m","messages":[]})",
                           R"({"model":"m","messages":[1],"stream":"yes"})"}) {
    cr_assert(IsRejected(body), "%s", body);
  }
}

Test(chat_format, asks_the_engine_to_resume) {
  const ChatRequest request =
      ParseChatRequest(R"({"model":"m","messages":[1]})").value();
  const std::string body = EngineRequestBody(request, 2, "ab");
  cr_assert(body.find(R"("resume_from_token":2)") != std::string::npos);
  cr_assert(body.find(R"("resume_text":"ab")") != std::string::npos);
  cr_assert(body.find(R"("stream":true)") != std::string::npos);
}

Test(chat_format, parses_engine_chunks) {
  const auto token = ParseEngineChunk(
      R"({"choices":[{"delta":{"content":"x"},"finish_reason":null}]})");
  cr_assert(token->text == "x");
  cr_assert(not(token->finish_reason.has_value()));
  const auto end =
      ParseEngineChunk(R"({"choices":[{"delta":{},"finish_reason":"stop"}],)"
                       R"("usage":{"completion_tokens":3}})");
  cr_assert(end->finish_reason == "stop");
  cr_assert(end->token_count == 3u);
  cr_assert(not(ParseEngineChunk("{}").has_value()));
  cr_assert(not(ParseEngineChunk("nonsense").has_value()));
}

Test(chat_format, token_events_are_valid_json_for_any_text) {
  for (const char* text : {"plain", "quote \" and \\ back", "line\nbreak\ttab",
                           "\x01 control", "na\xc3\xafve", ""}) {
    const std::string event =
        TokenEvent(RequestId("d.n.1.2"), ServiceName("chat"), 7, text);
    cr_assert(event.starts_with("id: 7\ndata: {"));
    cr_assert(event.ends_with("}\n\n"));
    const size_t data = event.find("data: ") + 6;
    const auto chunk = ParseEngineChunk(
        std::string_view(event).substr(data, event.size() - data - 2));
    cr_assert(chunk.has_value(), "%s", event.c_str());
    cr_assert(chunk->text == text);
  }
}
