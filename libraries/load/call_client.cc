#include "load/call_client.h"

#include <memory>

namespace pistachiowalk {
namespace {

constexpr std::chrono::milliseconds kTotalTimeout{20000};

}  // namespace

void StartPlainCall(HttpClient& client,
                    const PlainRequest& request,
                    std::function<void(const PlainReport&)> on_done) {
  HttpCallOptions options;
  options.method = request.method;
  options.url = request.url + "/v1/services/" + request.path;
  options.headers = {{"Authorization", "Bearer " + request.customer_key}};
  if (!request.idempotency_key.empty()) {
    options.headers.push_back({"Idempotency-Key", request.idempotency_key});
  }
  options.body = request.body;
  options.total_timeout = kTotalTimeout;
  auto report = std::make_shared<PlainReport>();
  const TimePoint started_at = std::chrono::steady_clock::now();
  HttpCallHandlers handlers;
  handlers.on_headers = [report](int status, const HttpHeaders& headers) {
    report->status = status;
    if (const std::string* outcome = FindHeader(headers, "X-Outcome")) {
      report->outcome = *outcome;
    }
  };
  handlers.on_data = [report](std::string_view data) {
    report->body.append(data);
  };
  handlers.on_done = [report, started_at,
                      on_done = std::move(on_done)](const HttpCallResult&) {
    report->latency = std::chrono::steady_clock::now() - started_at;
    on_done(*report);
  };
  client.Start(std::move(options), std::move(handlers));
}

}  // namespace pistachiowalk
