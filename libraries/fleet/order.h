#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "fleet/lease_record.h"

namespace pistachiowalk {

// The part of an endpoint's state that an order sets. Orders for different
// facets do not affect each other.
enum class OrderFacet : uint8_t {
  // Model, adapter and version to load.
  kModel,
  kRole,
  // "draining" or "serving".
  kService,
};

constexpr std::string_view OrderFacetName(OrderFacet facet) {
  switch (facet) {
    case OrderFacet::kModel:
      return "model";
    case OrderFacet::kRole:
      return "role";
    case OrderFacet::kService:
      return "service";
  }
  return "model";
}

// Total order of all orders: by lease holder, then by sequence of decision.
struct OrderStamp {
  FencingNumber fence = 0;
  uint64_t sequence = 0;

  friend auto operator<=>(const OrderStamp&, const OrderStamp&) = default;
};

// Sets one facet of an endpoint to a target state. Repeating it has no further
// effect.
struct Order {
  std::string id;
  EndpointId endpoint;
  OrderFacet facet = OrderFacet::kModel;
  OrderStamp stamp;
  std::string target;

  friend auto operator<=>(const Order&, const Order&) = default;
};

// State of one facet as reported by its endpoint.
struct FacetState {
  std::string order_id;
  OrderStamp stamp;
  std::string target;

  friend auto operator<=>(const FacetState&, const FacetState&) = default;
};

// An endpoint's answer to an order.
enum class OrderAnswer {
  // The target is in force, through this order or an earlier one.
  kInForce,
  // The endpoint has seen a higher stamp.
  kStale,
  // No answer or a malformed one; the order may or may not have arrived.
  kUnknown,
};

}  // namespace pistachiowalk
