#include "bundle/bundle.h"

#include <algorithm>

namespace pistachiowalk {
namespace {

template <class Item, class Name>
const Item* FindByName(const std::vector<Item>& items, const Name& name) {
  const auto it =
      std::find_if(items.begin(), items.end(),
                   [&name](const Item& item) { return item.name == name; });
  return it == items.end() ? nullptr : &*it;
}

}  // namespace

bool IsIdempotentMethod(const Service& service, std::string_view method) {
  const auto& methods = service.idempotent_methods;
  return std::find(methods.begin(), methods.end(), method) != methods.end();
}

const Place* FindPlace(const Bundle& bundle, const PlaceName& name) {
  return FindByName(bundle.places, name);
}

const Service* FindService(const Bundle& bundle, const ServiceName& name) {
  return FindByName(bundle.services, name);
}

const VmClass* FindVmClass(const Bundle& bundle, const VmClassName& name) {
  return FindByName(bundle.vm_classes, name);
}

const Customer* FindCustomerByKeyHash(const Bundle& bundle,
                                      std::string_view key_hash) {
  const auto it = std::find_if(bundle.customers.begin(), bundle.customers.end(),
                               [key_hash](const Customer& customer) {
                                 return customer.key_hash == key_hash;
                               });
  return it == bundle.customers.end() ? nullptr : &*it;
}

}  // namespace pistachiowalk
