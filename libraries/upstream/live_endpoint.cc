#include "upstream/live_endpoint.h"

#include <fmt/format.h>

#include "routing/endpoint_record.h"

namespace pistachiowalk {

LiveEndpoint::LiveEndpoint(EventLoop& loop, EndpointEntry entry)
    : connections(loop, entry.address),
      m_entry(std::move(entry)),
      // NOTE: A new incarnation starts with an empty cache, so its key differs.
      m_key(EndpointKey(
          fmt::format("{}/{}", m_entry.id.value(), m_entry.incarnation))) {}

}  // namespace pistachiowalk
