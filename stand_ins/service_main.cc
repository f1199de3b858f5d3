#include <boost/json.hpp>
#include <chrono>
#include <map>
#include <memory>

#include "stand_in_program.h"

// Stand-in of a plain service (docs/interfaces/service.md): counts how often
// each Idempotency-Key ran, and does not protect itself from running twice.
namespace pistachiowalk::stand_in {
namespace {

namespace json = boost::json;
namespace options = boost::program_options;

struct Service {
  EventLoop& loop;
  std::chrono::milliseconds delay;
  std::map<std::string, uint64_t> runs_by_key;
  uint64_t reads = 0;
  // Number of calls that run without their whole answer being sent.
  uint64_t answers_to_drop = 0;
};

// Truncates the answer if a fault is configured; true if it did.
bool DropAnswer(Service& service, const HttpExchangePtr& exchange) {
  if (service.answers_to_drop == 0) {
    return false;
  }
  --service.answers_to_drop;
  exchange->StartStream(200, {});
  exchange->Abort();
  return true;
}

void RunAction(Service& service, const HttpExchangePtr& exchange) {
  const std::string key = exchange->Header("Idempotency-Key");
  const uint64_t run = ++service.runs_by_key[key];
  if (DropAnswer(service, exchange)) {
    return;
  }
  service.loop.Schedule(service.delay, [exchange, key, run] {
    RespondJson(exchange, 201,
                json::serialize(json::object{{"key", key}, {"run", run}}));
  });
}

void RespondStats(const Service& service, const HttpExchangePtr& exchange) {
  uint64_t runs = 0;
  uint64_t double_runs = 0;
  json::object by_key;
  for (const auto& [key, count] : service.runs_by_key) {
    runs += count;
    double_runs += count > 1 ? 1 : 0;
    by_key[key] = count;
  }
  RespondJson(exchange, 200,
              json::serialize(json::object{{"runs", runs},
                                           {"double_runs", double_runs},
                                           {"reads", service.reads},
                                           {"by_key", std::move(by_key)}}));
}

void Handle(Service& service, const HttpExchangePtr& exchange) {
  if (exchange->path() == "/stand-in/stats") {
    RespondStats(service, exchange);
    return;
  }
  if (exchange->path() == "/stand-in/drop-answers") {
    service.answers_to_drop =
        std::strtoull(exchange->QueryArgument("count").c_str(), nullptr, 10);
    RespondJson(exchange, 200, "{}");
    return;
  }
  if (exchange->method() != "GET" && exchange->method() != "HEAD") {
    RunAction(service, exchange);
    return;
  }
  ++service.reads;
  if (DropAnswer(service, exchange)) {
    return;
  }
  service.loop.Schedule(service.delay, [exchange] {
    RespondJson(exchange, 200,
                json::serialize(json::object{{"path", exchange->path()}}));
  });
}

HttpServer::Handler MakeHandler(EventLoop& loop,
                                const options::variables_map& values) {
  auto service = std::make_shared<Service>(Service{
      .loop = loop,
      .delay = std::chrono::milliseconds(values["delay-ms"].as<uint32_t>()),
      .runs_by_key = {}});
  return [service](const HttpExchangePtr& exchange) {
    Handle(*service, exchange);
  };
}

}  // namespace
}  // namespace pistachiowalk::stand_in

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  pistachiowalk::stand_in::Program program;
  program.name = "stand_in_service: a plain service for tests";
  program.options.add_options()("delay-ms",
                                options::value<uint32_t>()->default_value(5),
                                "time an answer takes, in milliseconds");
  program.make_handler = pistachiowalk::stand_in::MakeHandler;
  return pistachiowalk::stand_in::RunProgram(argc, argv, std::move(program));
}
