#pragma once

#include "base/named_id.h"

// Identifiers shared between libraries.
namespace pistachiowalk {

using RequestId = NamedId<struct RequestIdTag>;
using NodeId = NamedId<struct NodeIdTag>;
using VmId = NamedId<struct VmIdTag>;
using EndpointId = NamedId<struct EndpointIdTag>;
using PlaceName = NamedId<struct PlaceNameTag>;
using DataCenterName = NamedId<struct DataCenterNameTag>;
using RegionName = NamedId<struct RegionNameTag>;
// Of a worker's software, not of its model's weights. Versions have no order.
using SoftwareVersion = NamedId<struct SoftwareVersionTag>;
using ServiceName = NamedId<struct ServiceNameTag>;
using CustomerName = NamedId<struct CustomerNameTag>;
using VmClassName = NamedId<struct VmClassNameTag>;
using SigningKeyId = NamedId<struct SigningKeyIdTag>;

}  // namespace pistachiowalk
