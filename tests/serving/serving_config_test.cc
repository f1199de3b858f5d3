#include "serving/serving_config.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

ServingConfig MakeConfig() {
  ServingConfig config;
  config.routes = {
      Route{.name = "short", .host = "a.example", .path_prefix = "/x/"},
      Route{.name = "long", .host = "a.example", .path_prefix = "/x/y/"},
      Route{.name = "other", .host = "b.example", .path_prefix = "/"}};
  config.customers[CustomerName("acme")] =
      CustomerSpec{.name = CustomerName("acme")};
  config.api_keys["key-1"] = CustomerName("acme");
  config.api_keys["key-2"] = CustomerName("gone");
  return config;
}

}  // namespace

Test(serving_config, the_longest_prefix_of_the_host_wins) {
  const ServingConfig config = MakeConfig();
  cr_assert(FindRoute(config, "a.example", "/x/y/z")->name == "long");
  cr_assert(FindRoute(config, "a.example", "/x/z")->name == "short");
  cr_assert(FindRoute(config, "b.example", "/x/y/z")->name == "other");
}

Test(serving_config, a_path_without_the_final_slash_matches_no_prefix) {
  const ServingConfig config = MakeConfig();
  cr_assert(FindRoute(config, "a.example", "/x") == nullptr);
  cr_assert(FindRoute(config, "c.example", "/x/") == nullptr);
}

Test(serving_config, targets_are_chosen_by_weight) {
  const Route route{.targets = {{.service = ServiceName("a"), .weight = 90},
                                {.service = ServiceName("b"), .weight = 10}}};
  cr_assert(ChooseTarget(route, 0.0) == ServiceName("a"));
  cr_assert(ChooseTarget(route, 0.89) == ServiceName("a"));
  cr_assert(ChooseTarget(route, 0.91) == ServiceName("b"));
  cr_assert(ChooseTarget(route, 0.9999) == ServiceName("b"));
}

Test(serving_config, a_key_maps_to_its_customer_only) {
  const ServingConfig config = MakeConfig();
  cr_assert(FindCustomer(config, "key-1")->name == CustomerName("acme"));
  cr_assert(FindCustomer(config, "key-2") == nullptr);
  cr_assert(FindCustomer(config, "") == nullptr);
}
