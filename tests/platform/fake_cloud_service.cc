#include "platform/fake_cloud_service.h"

#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <cstdlib>

#include "platform/header_names.h"
#include "platform/json_reader.h"

namespace pistachiowalk::testing {

FakeCloudService::FakeCloudService(EventLoop& loop,
                                   const SocketAddress& address,
                                   Handlers handlers)
    : m_handlers(std::move(handlers)) {
  m_service = boost::leaf::try_handle_all(
      [&] {
        return HttpService::Create(
            loop, m_clock, address, ServerLimits{},
            [this](const ServerExchangePtr& exchange) { Serve(exchange); });
      },
      []() -> std::unique_ptr<HttpService> { std::abort(); });
}

void FakeCloudService::Serve(const ServerExchangePtr& exchange) {
  if (m_is_down) {
    exchange->Respond(503, {}, "");
    return;
  }
  const HttpHeaders& headers = exchange->head().headers;
  const std::string* holder = FindHeader(headers, platform::kDutyHolderHeader);
  const std::string* fence_text =
      FindHeader(headers, platform::kFencingTokenHeader);
  const auto body = platform::ParseObject(exchange->body());
  if (holder == nullptr || fence_text == nullptr || !body) {
    exchange->Respond(400, {}, "");
    return;
  }
  const uint64_t fence = std::strtoull(fence_text->c_str(), nullptr, 10);
  const bool is_usage = exchange->head().target == "/usage";
  const std::string subject =
      is_usage ? "usage"
               : platform::GetString(*body, "service").value_or("") + "/" +
                     platform::GetString(*body, "zone").value_or("");
  uint64_t& highest = m_fences[subject];
  if (fence < highest) {
    exchange->Respond(409, {}, "");
    return;
  }
  highest = fence;
  if (is_usage) {
    const auto* counts = platform::GetObject(*body, "counts");
    m_handlers.usage(*holder, fence,
                     platform::GetUint64(*body, "window-seq").value_or(0),
                     counts == nullptr ? "" : boost::json::serialize(*counts));
  } else {
    m_handlers.order(*holder, fence);
  }
  exchange->Respond(200, {}, "");
}

}  // namespace pistachiowalk::testing
