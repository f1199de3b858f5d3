#pragma once

#include <map>
#include <vector>

#include "following/node_digest.h"

namespace pistachiowalk {

// Outstanding work per endpoint, summed over digests.
class EndpointWorkTotals {
 public:
  void Clear() { m_totals.clear(); }
  void Add(const std::vector<EndpointWork>& work) {
    for (const EndpointWork& entry : work) {
      OutstandingWork& total = m_totals[entry.endpoint_key];
      total = total +
              OutstandingWork{
                  .requests = entry.requests,
                  .pending_prompt_tokens =
                      static_cast<double>(entry.pending_prompt_tokens),
                  .context_tokens = static_cast<double>(entry.context_tokens)};
    }
  }
  OutstandingWork At(uint64_t endpoint_key) const {
    const auto it = m_totals.find(endpoint_key);
    return it == m_totals.end() ? OutstandingWork{} : it->second;
  }
  const std::map<uint64_t, OutstandingWork>& totals() const { return m_totals; }

 private:
  std::map<uint64_t, OutstandingWork> m_totals;
};

}  // namespace pistachiowalk
