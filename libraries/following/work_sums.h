#pragma once

#include <map>
#include <vector>

#include "following/node_digest.h"

namespace pistachiowalk {

// Open work per endpoint, summed over digests.
class WorkSums {
 public:
  void Clear() { m_sums.clear(); }
  void Add(const std::vector<EndpointWork>& work) {
    for (const EndpointWork& entry : work) {
      OutstandingWork& sum = m_sums[entry.endpoint_key];
      sum = sum +
            OutstandingWork{
                .requests = entry.requests,
                .pending_prompt_tokens =
                    static_cast<double>(entry.pending_prompt_tokens),
                .context_tokens = static_cast<double>(entry.context_tokens)};
    }
  }
  OutstandingWork At(uint64_t endpoint_key) const {
    const auto it = m_sums.find(endpoint_key);
    return it == m_sums.end() ? OutstandingWork{} : it->second;
  }
  const std::map<uint64_t, OutstandingWork>& sums() const { return m_sums; }

 private:
  std::map<uint64_t, OutstandingWork> m_sums;
};

}  // namespace pistachiowalk
