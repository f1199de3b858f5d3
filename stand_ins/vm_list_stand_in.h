#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "net/http_exchange.h"

namespace pistachiowalk::stand_in {

// Stand-in of the platform's VM list (docs/interfaces/vm_list.md).
class VmListStandIn {
 public:
  // Serves GET /v1/vms.
  void Handle(const HttpExchangePtr& exchange);
  // Serves /stand-in/vms: GET shows counters, POST adds or replaces the VM of
  // the body, DELETE with ?id= removes one, PUT with ?id= marks one as leaving.
  void HandleControl(const HttpExchangePtr& exchange);

 private:
  std::map<std::string, boost::json::object> m_vms;
  uint64_t m_revision = 0;
  uint64_t m_lists_sent = 0;
};

}  // namespace pistachiowalk::stand_in
