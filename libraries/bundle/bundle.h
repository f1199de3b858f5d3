#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "bundle/customer.h"
#include "bundle/place.h"
#include "bundle/service.h"
#include "bundle/vm_class.h"

namespace pistachiowalk {

// Version of a bundle's content; strictly increasing.
using BundleVersion = uint64_t;

// The complete configuration of a deployment at one version.
struct Bundle {
  std::string name;
  BundleVersion version = 0;
  std::vector<Place> places;
  std::vector<VmClass> vm_classes;
  std::vector<Service> services;
  std::vector<Customer> customers;

  friend auto operator<=>(const Bundle&, const Bundle&) = default;
};

// Lookups. Return nullptr if the bundle has no such item.
const Place* FindPlace(const Bundle& bundle, const PlaceName& name);
const Service* FindService(const Bundle& bundle, const ServiceName& name);
const VmClass* FindVmClass(const Bundle& bundle, const VmClassName& name);
const Customer* FindCustomerByKeyHash(const Bundle& bundle,
                                      std::string_view key_hash);

}  // namespace pistachiowalk
