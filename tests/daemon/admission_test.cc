#include <string>

#include "bundle/customer_key.h"
#include "daemon/deployment.h"
#include "support/criterion.h"
#include "support/raw_http.h"

using namespace pistachiowalk::testing;

namespace {

constexpr const char* kKey = "Authorization: Bearer key\r\n";
constexpr const char* kLimitedKey = "Authorization: Bearer small\r\n";

// A bundle with a second customer whose rate limit allows an initial burst of
// three calls.
std::string BundleWithLimitedCustomer() {
  return DeploymentBundle(1) + "[customer small]\nkey_hash = " +
         pistachiowalk::HashCustomerKey("small") +
         "\nrequests_per_second = 1\n";
}

std::string CallLoansService(const Deployment& deployment,
                             const std::string& method,
                             const std::string& headers) {
  return Call(deployment.entry_port(), method, "/v1/services/loans/items",
              headers, method == "GET" ? "" : "{}");
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

struct LimitedDeployment : Deployment {
  LimitedDeployment() {
    StoreBundle(BundleWithLimitedCustomer(), true);
    AwaitStatus("\"bundle_version\":1");
    AddEndpoint("service-1", service().port(), "loans");
  }
};

}  // namespace

Test(admission, a_customer_over_its_limit_gets_not_run_and_retry_after) {
  LimitedDeployment deployment;
  std::string rejected;
  for (int i = 0; i < 20 && rejected.empty(); ++i) {
    const std::string response =
        CallLoansService(deployment, "GET", kLimitedKey);
    if (StatusOf(response) == 429) {
      rejected = response;
    }
  }
  cr_assert(Contains(rejected, "X-Outcome: not-run"));
  cr_assert(Contains(rejected, "Retry-After: "));
  cr_assert(Contains(rejected, "limit-exceeded"));
  cr_assert(StatusOf(CallLoansService(deployment, "GET", kKey)) == 200);
}

Test(admission, an_action_is_not_rejected_by_the_rate_limit) {
  LimitedDeployment deployment;
  for (int i = 0; i < 12; ++i) {
    const std::string headers = std::string(kLimitedKey) +
                                "Idempotency-Key: k" + std::to_string(i) +
                                "\r\n";
    cr_assert(Contains(CallLoansService(deployment, "POST", headers),
                       "X-Outcome: ran"));
  }
}
