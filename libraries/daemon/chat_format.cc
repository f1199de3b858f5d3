#include "daemon/chat_format.h"

#include <fmt/format.h>

#include <array>
#include <boost/json.hpp>

namespace pistachiowalk {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

// Chunks up to this size are parsed without a heap allocation.
constexpr size_t kChunkParseBytes = 2048;

leaf::error_id MakeFormatError(std::string detail) {
  return leaf::new_error(ChatFormatError{std::move(detail)});
}

const json::object* FirstChoice(const json::object& document) {
  const json::value* choices = document.if_contains("choices");
  if (choices == nullptr || !choices->is_array() ||
      choices->get_array().empty()) {
    return nullptr;
  }
  return choices->get_array().front().if_object();
}

json::object ChunkDocument(const RequestId& request,
                           const ServiceName& service,
                           json::object delta,
                           json::value finish_reason) {
  json::object choice{{"index", 0},
                      {"delta", std::move(delta)},
                      {"finish_reason", std::move(finish_reason)}};
  return json::object{{"id", request.value()},
                      {"object", "chat.completion.chunk"},
                      {"model", service.value()},
                      {"choices", json::array{std::move(choice)}}};
}

}  // namespace

leaf::result<ChatRequest> ParseChatRequest(std::string_view body) {
  json::error_code error;
  const json::value document = json::parse(body, error);
  if (error) {
    return MakeFormatError("the body is not JSON: " + error.message());
  }
  const json::object* object = document.if_object();
  if (object == nullptr) {
    return MakeFormatError("the body must be a JSON object");
  }
  const json::value* model = object->if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return MakeFormatError("\"model\" must be the name of a service");
  }
  const json::value* messages = object->if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->get_array().empty()) {
    return MakeFormatError(
        "\"messages\" must be an array with at least one message");
  }
  const json::value* stream = object->if_contains("stream");
  if (stream != nullptr && !stream->is_bool()) {
    return MakeFormatError("\"stream\" must be true or false");
  }
  return ChatRequest{.service = ServiceName(std::string(model->get_string())),
                     .is_streaming = stream != nullptr && stream->get_bool(),
                     .body = std::string(body)};
}

std::string EngineRequestBody(const ChatRequest& request,
                              uint64_t resume_from,
                              std::string_view resume_text) {
  json::object document = json::parse(request.body).as_object();
  document["stream"] = true;
  if (resume_from > 0) {
    document["resume_from_token"] = resume_from;
    document["resume_text"] = resume_text;
  }
  return json::serialize(document);
}

std::optional<EngineChunk> ParseEngineChunk(std::string_view data) {
  std::array<unsigned char, kChunkParseBytes> buffer;
  json::monotonic_resource resource(buffer.data(), buffer.size());
  json::error_code error;
  const json::value document = json::parse(data, error, &resource);
  const json::object* object = error ? nullptr : document.if_object();
  const json::object* choice = object ? FirstChoice(*object) : nullptr;
  if (choice == nullptr) {
    return std::nullopt;
  }
  EngineChunk chunk;
  const json::value* delta = choice->if_contains("delta");
  const json::object* delta_object = delta ? delta->if_object() : nullptr;
  const json::value* content =
      delta_object ? delta_object->if_contains("content") : nullptr;
  if (content != nullptr && content->is_string()) {
    chunk.text = content->get_string();
  }
  const json::value* reason = choice->if_contains("finish_reason");
  if (reason != nullptr && reason->is_string()) {
    chunk.finish_reason = std::string(reason->get_string());
  }
  const json::value* usage = object->if_contains("usage");
  const json::object* usage_object = usage ? usage->if_object() : nullptr;
  const json::value* count =
      usage_object ? usage_object->if_contains("completion_tokens") : nullptr;
  if (count != nullptr && count->is_int64() && count->get_int64() >= 0) {
    chunk.token_count = static_cast<uint64_t>(count->get_int64());
  }
  return chunk;
}

std::string TokenEvent(const RequestId& request,
                       const ServiceName& service,
                       uint64_t index,
                       std::string_view text) {
  // NOTE: Formatted by hand because building a JSON document accounts for most
  // of the cost of a token. Only the text can require escaping: ids and names
  // consist of letters, digits, hyphens and dots.
  return fmt::format(
      "id: {}\ndata: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\","
      "\"model\":\"{}\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":{}}}"
      ","
      "\"finish_reason\":null}}]}}\n\n",
      index, request.value(), service.value(),
      json::serialize(json::string_view(text.data(), text.size())));
}

std::string EndEvents(const RequestId& request,
                      const ServiceName& service,
                      uint64_t token_count,
                      std::string_view finish_reason) {
  json::object document =
      ChunkDocument(request, service, json::object{},
                    json::value(json::string(finish_reason)));
  document["usage"] = json::object{{"completion_tokens", token_count}};
  return fmt::format("data: {}\n\ndata: [DONE]\n\n", json::serialize(document));
}

std::string ErrorEvent(std::string_view problem_document) {
  return fmt::format("event: error\ndata: {{\"error\":{}}}\n\n",
                     problem_document);
}

std::string CompletionDocument(const RequestId& request,
                               const ServiceName& service,
                               uint64_t token_count,
                               std::string_view text,
                               std::string_view finish_reason) {
  json::object message{{"role", "assistant"}, {"content", text}};
  json::object choice{{"index", 0},
                      {"message", std::move(message)},
                      {"finish_reason", finish_reason}};
  return json::serialize(json::object{
      {"id", request.value()},
      {"object", "chat.completion"},
      {"model", service.value()},
      {"choices", json::array{std::move(choice)}},
      {"usage", json::object{{"completion_tokens", token_count}}}});
}

}  // namespace pistachiowalk
