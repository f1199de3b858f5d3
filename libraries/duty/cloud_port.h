#pragma once

#include <functional>
#include <map>
#include <string>

#include "base/ids.h"
#include "fleet/lease_record.h"

namespace pistachiowalk {

// Who makes a call, and by which grant.
struct DutyGrant {
  NodeId node;
  FencingNumber fence = 0;

  friend auto operator<=>(const DutyGrant&, const DutyGrant&) = default;
};

enum class CloudStatus {
  kDone,
  // A higher fencing number was seen: another node holds the duty.
  kSuperseded,
  // None of what was ordered can be had at the moment.
  kNoneAvailable,
  // Certainly not done.
  kRefused,
  // No answer: may still be done later.
  kUnknown,
};

struct UsageReport {
  // Number of the window since 1970.
  uint64_t window = 0;
  // Requests that began to run, by customer.
  std::map<CustomerName, uint64_t> started;

  friend auto operator<=>(const UsageReport&, const UsageReport&) = default;
};

// How many workers of one kind a service shall have in a data centre.
struct WorkerOrder {
  ServiceName service;
  DataCenterName data_center;
  bool is_reclaimable = false;
  uint32_t count = 0;

  friend auto operator<=>(const WorkerOrder&, const WorkerOrder&) = default;
};

// The calls to the cloud that are the duty of one node at a time.
class CloudPort {
 public:
  using Callback = std::function<void(CloudStatus status)>;

  virtual ~CloudPort() = default;
  virtual void ReportUsage(const DutyGrant& grant,
                           const UsageReport& report,
                           Callback callback) = 0;
  virtual void OrderWorkers(const DutyGrant& grant,
                            const WorkerOrder& order,
                            Callback callback) = 0;
};

}  // namespace pistachiowalk
