#include "daemon/deployment.h"
#include "support/criterion.h"
#include "support/raw_http.h"

using namespace pistachiowalk::testing;

namespace {

constexpr const char* kKey = "Authorization: Bearer key\r\n";
constexpr const char* kChat =
    R"({"model":"chat","messages":["hi"],"max_tokens":5,"stream":true})";
constexpr int kStatusOk = 200;

}  // namespace

Test(lease_service,
     a_store_outage_blocks_orders_but_not_requests_and_is_reported) {
  Deployment deployment;
  deployment.StoreBundle(DeploymentBundle(1), true);
  deployment.AwaitStatus("\"bundle_version\":1");
  deployment.AddEndpoint("engine-1", deployment.engine().port(), "chat");
  deployment.AwaitStatus("\"state\":\"held\"");

  Call(deployment.platform().port(), "POST", "/stand-in/store?down=true");
  deployment.AwaitStatus("\"stopped\":\"orders and VM starts of lease/p\"");
  const std::string response = Call(deployment.entry_port(), "POST",
                                    "/v1/chat/completions", kKey, kChat);
  cr_assert(StatusOf(response) == kStatusOk);

  Call(deployment.platform().port(), "POST", "/stand-in/store?down=false");
  deployment.AwaitStatus("\"stopped\":\"\"");
  deployment.AwaitStatus("\"fence\":1,");
}
