#include "store/http_store.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <memory>

namespace pistachiowalk {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{2000};
constexpr std::chrono::milliseconds kWatchTimeoutMargin{2000};
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooManyRequests = 429;

// Parses {"revision": n, "value": "..."}. Returns false if the body has another
// format.
bool ParseBody(const std::string& body, StoreResult& result) {
  boost::json::error_code error;
  const boost::json::value document = boost::json::parse(body, error);
  const auto* object = error ? nullptr : document.if_object();
  const auto* revision = object ? object->if_contains("revision") : nullptr;
  const auto* value = object ? object->if_contains("value") : nullptr;
  if (revision == nullptr || !revision->is_int64() ||
      revision->get_int64() < 0) {
    return false;
  }
  result.revision = static_cast<StoreRevision>(revision->get_int64());
  if (value != nullptr && value->is_string()) {
    result.value = value->get_string();
  }
  return true;
}

StoreResult ToStoreResult(const HttpCallResult& call, const std::string& body) {
  StoreResult result;
  if (call.status == HttpCallStatus::kNotConnected ||
      call.http_status == kStatusTooManyRequests) {
    result.status = StoreStatus::kUnavailable;
    return result;
  }
  result.status = StoreStatus::kUnknown;
  if (call.status != HttpCallStatus::kComplete) {
    return result;
  }
  if (call.http_status == kStatusNotFound) {
    result.status = StoreStatus::kOk;
  } else if (call.http_status == kStatusOk && ParseBody(body, result)) {
    result.status = StoreStatus::kOk;
  } else if (call.http_status == kStatusConflict && ParseBody(body, result)) {
    result.status = StoreStatus::kConflict;
  }
  return result;
}

}  // namespace

HttpStore::HttpStore(HttpClient& client, std::string base_url)
    : m_client(client), m_base_url(std::move(base_url)) {}

void HttpStore::Call(HttpCallOptions options,
                     CallKind kind,
                     Callback callback) {
  auto body = std::make_shared<std::string>();
  HttpCallHandlers handlers;
  handlers.on_data = [body](std::string_view data) { body->append(data); };
  handlers.on_done = [body, kind,
                      callback = std::move(callback)](const auto& done) {
    StoreResult result = ToStoreResult(done, *body);
    // A read has no side effect, so a lost answer leaves no unknown outcome.
    if (kind == CallKind::kRead && result.status == StoreStatus::kUnknown) {
      result.status = StoreStatus::kUnavailable;
    }
    callback(result);
  };
  m_client.Start(std::move(options), std::move(handlers));
}

void HttpStore::Get(const std::string& key, Callback callback) {
  HttpCallOptions options;
  options.url = fmt::format("{}/v1/kv/{}", m_base_url, key);
  options.total_timeout = kCallTimeout;
  Call(std::move(options), CallKind::kRead, std::move(callback));
}

void HttpStore::CompareAndSwap(const std::string& key,
                               StoreRevision expected,
                               std::string value,
                               Callback callback) {
  HttpCallOptions options;
  options.method = "PUT";
  options.url =
      fmt::format("{}/v1/kv/{}?expected={}", m_base_url, key, expected);
  options.body = value;
  options.total_timeout = kCallTimeout;
  // NOTE: libcurl resends a write if a pooled connection turns out to be dead.
  // The second copy may then conflict with the first, which is a success.
  auto resolve = [value = std::move(value),
                  callback = std::move(callback)](const StoreResult& answer) {
    StoreResult result = answer;
    if (result.status == StoreStatus::kConflict && result.value == value) {
      result.status = StoreStatus::kOk;
    }
    callback(result);
  };
  Call(std::move(options), CallKind::kWrite, std::move(resolve));
}

void HttpStore::Watch(const std::string& key,
                      StoreRevision after,
                      std::chrono::milliseconds wait,
                      Callback callback) {
  HttpCallOptions options;
  options.url = fmt::format("{}/v1/kv/{}?after={}&wait_ms={}", m_base_url, key,
                            after, wait.count());
  options.total_timeout = wait + kWatchTimeoutMargin;
  options.progress_timeout = wait + kWatchTimeoutMargin;
  Call(std::move(options), CallKind::kRead, std::move(callback));
}

}  // namespace pistachiowalk
