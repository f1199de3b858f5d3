#include <fmt/format.h>

#include <boost/json.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "stand_in_program.h"
#include "token_text.h"

// Stand-in of a model engine (docs/interfaces/engine.md): generates tokens
// that depend on the prompt alone, at a fixed pace.
namespace pistachiowalk::stand_in {
namespace {

namespace json = boost::json;
namespace options = boost::program_options;

// Pace and counters of the engine.
struct Engine {
  EventLoop& loop;
  std::chrono::microseconds prefill_time_per_token;
  std::chrono::microseconds token_interval;
  uint64_t running = 0;
  uint64_t requests = 0;
  uint64_t prefilled_tokens = 0;
  uint64_t generated_tokens = 0;
  // Tokens prefilled for answers that were resumed on this engine.
  uint64_t recomputed_tokens = 0;
  std::optional<TimePoint> leaving_since;
  // Requests received more than kLeavingGrace after the engine began to leave.
  uint64_t requests_after_leaving = 0;
};

// Generation pauses while more bytes than this wait for the caller to read.
constexpr size_t kMaximumBufferedBytes = 64 * 1024;

// Time within which callers must have learned that an engine is leaving.
constexpr Duration kLeavingGrace = std::chrono::seconds(3);

// One generation in progress.
struct Generation {
  HttpExchangePtr exchange;
  std::string prompt;
  uint64_t next = 0;
  uint64_t end = 0;
};
using GenerationPtr = std::shared_ptr<Generation>;

uint64_t NumberAt(const json::object& object,
                  const char* name,
                  uint64_t fallback) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_int64() && value->get_int64() >= 0
             ? static_cast<uint64_t>(value->get_int64())
             : fallback;
}

std::string ChunkEvent(uint64_t index, std::string_view text) {
  const json::object chunk{
      {"object", "chat.completion.chunk"},
      {"choices",
       json::array{json::object{{"index", 0},
                                {"delta", json::object{{"content", text}}},
                                {"finish_reason", nullptr}}}}};
  return fmt::format("id: {}\ndata: {}\n\n", index, json::serialize(chunk));
}

std::string FinalEvents(uint64_t count) {
  const json::object chunk{
      {"object", "chat.completion.chunk"},
      {"choices", json::array{json::object{{"index", 0},
                                           {"delta", json::object{}},
                                           {"finish_reason", "stop"}}}},
      {"usage", json::object{{"completion_tokens", count}}}};
  return fmt::format("data: {}\n\ndata: [DONE]\n\n", json::serialize(chunk));
}

void Step(Engine& engine, const GenerationPtr& generation);

void ScheduleStep(Engine& engine, const GenerationPtr& generation) {
  engine.loop.Schedule(engine.token_interval,
                       [&engine, generation] { Step(engine, generation); });
}

void Step(Engine& engine, const GenerationPtr& generation) {
  if (!generation->exchange->IsOpen()) {
    --engine.running;
    return;
  }
  if (generation->exchange->BufferedBytes() > kMaximumBufferedBytes) {
    ScheduleStep(engine, generation);
    return;
  }
  if (generation->next >= generation->end) {
    --engine.running;
    generation->exchange->Write(FinalEvents(generation->end));
    generation->exchange->Finish();
    return;
  }
  ++engine.generated_tokens;
  generation->exchange->Write(ChunkEvent(
      generation->next, TokenText(generation->prompt, generation->next)));
  ++generation->next;
  ScheduleStep(engine, generation);
}

void StartGeneration(Engine& engine, const HttpExchangePtr& exchange) {
  constexpr uint64_t kDefaultTokens = 32;
  constexpr uint64_t kBytesPerToken = 4;
  json::error_code error;
  const json::value document = json::parse(exchange->body(), error);
  const json::object* object = error ? nullptr : document.if_object();
  if (object == nullptr || !object->contains("messages")) {
    RespondJson(exchange, 400, R"({"error":"malformed request"})");
    return;
  }
  auto generation = std::make_shared<Generation>();
  generation->exchange = exchange;
  generation->prompt = json::serialize(object->at("messages"));
  generation->next = NumberAt(*object, "resume_from_token", 0);
  generation->end = NumberAt(*object, "max_tokens", kDefaultTokens);
  ++engine.requests;
  ++engine.running;
  const uint64_t prefill =
      generation->prompt.size() / kBytesPerToken + generation->next;
  engine.prefilled_tokens += prefill;
  if (generation->next > 0) {
    engine.recomputed_tokens += prefill;
  }
  if (engine.leaving_since &&
      std::chrono::steady_clock::now() - *engine.leaving_since >
          kLeavingGrace) {
    ++engine.requests_after_leaving;
  }
  exchange->StartStream(200,
                        {{"Content-Type", "text/event-stream"},
                         {"X-Engine-Running", std::to_string(engine.running)}});
  engine.loop.Schedule(
      engine.prefill_time_per_token * static_cast<int64_t>(prefill),
      [&engine, generation] { Step(engine, generation); });
}

void RespondStats(const Engine& engine, const HttpExchangePtr& exchange) {
  RespondJson(exchange, 200,
              json::serialize(json::object{
                  {"running", engine.running},
                  {"requests", engine.requests},
                  {"prefilled_tokens", engine.prefilled_tokens},
                  {"generated_tokens", engine.generated_tokens},
                  {"recomputed_tokens", engine.recomputed_tokens},
                  {"requests_after_leaving", engine.requests_after_leaving}}));
}

HttpServer::Handler MakeHandler(EventLoop& loop,
                                const options::variables_map& values) {
  auto engine = std::make_shared<Engine>(
      Engine{.loop = loop,
             .prefill_time_per_token =
                 std::chrono::microseconds(values["prefill-us"].as<uint32_t>()),
             .token_interval =
                 std::chrono::microseconds(values["token-us"].as<uint32_t>())});
  return [engine](const HttpExchangePtr& exchange) {
    if (exchange->path() == "/v1/chat/completions") {
      StartGeneration(*engine, exchange);
    } else if (exchange->path() == "/stand-in/leaving") {
      engine->leaving_since = std::chrono::steady_clock::now();
      RespondJson(exchange, 200, "{}");
    } else {
      RespondStats(*engine, exchange);
    }
  };
}

}  // namespace
}  // namespace pistachiowalk::stand_in

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  pistachiowalk::stand_in::Program program;
  program.name = "stand_in_engine: a model engine for tests";
  program.options.add_options()("prefill-us",
                                options::value<uint32_t>()->default_value(50),
                                "time to prefill one token, in microseconds")(
      "token-us", options::value<uint32_t>()->default_value(10000),
      "time between tokens, in microseconds");
  program.make_handler = pistachiowalk::stand_in::MakeHandler;
  return pistachiowalk::stand_in::RunProgram(argc, argv, std::move(program));
}
