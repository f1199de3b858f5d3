#pragma once

#include <string>

#include "net/http_client.h"
#include "store/store_port.h"

namespace pistachiowalk {

// Client of the platform's store over HTTP (docs/interfaces/store.md).
class HttpStore final : public StorePort {
 public:
  // `base_url` has no trailing slash, for example "http://127.0.0.1:2379".
  HttpStore(HttpClient& client, std::string base_url);

  void Get(const std::string& key, Callback callback) override;
  void CompareAndSwap(const std::string& key,
                      StoreRevision expected,
                      std::string value,
                      Callback callback) override;
  void Watch(const std::string& key,
             StoreRevision after,
             std::chrono::milliseconds wait,
             Callback callback) override;

 private:
  enum class CallKind { kRead, kWrite };

  void Call(HttpCallOptions options, CallKind kind, Callback callback);

  HttpClient& m_client;
  std::string m_base_url;
};

}  // namespace pistachiowalk
