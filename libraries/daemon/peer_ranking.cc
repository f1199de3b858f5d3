#include "daemon/peer_ranking.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace pistachiowalk {
namespace {

uint64_t RendezvousWeight(const NodeId& node, const RequestId& request) {
  const std::string text = node.value() + "\n" + request.value();
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

std::vector<NodeView> RankPeers(const NodePort& nodes,
                                const RequestId& request) {
  std::vector<NodeView> peers = nodes.LocalNodes();
  std::erase_if(peers, [&nodes](const NodeView& view) {
    return view.node == nodes.self();
  });
  std::sort(peers.begin(), peers.end(),
            [&request](const NodeView& a, const NodeView& b) {
              return RendezvousWeight(a.node, request) >
                     RendezvousWeight(b.node, request);
            });
  return peers;
}

}  // namespace pistachiowalk
