#pragma once

#include <cstddef>
#include <vector>

#include "base/ids.h"
#include "serving/stream_origin.h"

namespace pistachiowalk {

// The `count` of `nodes` that keep a stream's origin, in an order that depends
// only on the stream. All nodes that know the same others choose the same ones,
// and a node that leaves or joins changes few choices.
std::vector<NodeId> ChooseStreamKeepers(StreamKey key,
                                        const std::vector<NodeId>& nodes,
                                        size_t count);

}  // namespace pistachiowalk
