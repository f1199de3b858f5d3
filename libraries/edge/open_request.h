#pragma once

#include <boost/intrusive/list.hpp>

namespace pistachiowalk {

// A request that a node has accepted and not answered yet.
class OpenRequest
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  // Ends the request with what is known of it, as the node stops.
  virtual void EndForStop() = 0;

 protected:
  OpenRequest() = default;
  ~OpenRequest() = default;
};

using OpenRequestList =
    boost::intrusive::list<OpenRequest,
                           boost::intrusive::constant_time_size<false>>;

}  // namespace pistachiowalk
