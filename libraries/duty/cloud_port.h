#pragma once

#include <functional>
#include <map>
#include <string>

#include "base/ids.h"
#include "fleet/lease_record.h"

namespace pistachiowalk {

// The node that makes a call, and the fencing number of its lease grant.
struct DutyGrant {
  NodeId node;
  FencingNumber fence = 0;

  friend auto operator<=>(const DutyGrant&, const DutyGrant&) = default;
};

enum class CloudStatus {
  kDone,
  // A higher fencing number was seen: another node holds the duty.
  kSuperseded,
  // The cloud has no such workers available at the moment.
  kNoneAvailable,
  // Rejected; certainly not executed.
  kRefused,
  // No response: the call may still take effect later.
  kUnknown,
};

struct UsageReport {
  // Number of the window since 1970.
  uint64_t window = 0;
  // Number of requests that started to run, by customer.
  std::map<CustomerName, uint64_t> started;

  friend auto operator<=>(const UsageReport&, const UsageReport&) = default;
};

// The desired number of workers of one kind for a service in a data centre.
struct WorkerOrder {
  ServiceName service;
  DataCenterName data_center;
  bool is_reclaimable = false;
  uint32_t count = 0;

  friend auto operator<=>(const WorkerOrder&, const WorkerOrder&) = default;
};

// Calls to the cloud that only the holder of the duty lease may make.
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
