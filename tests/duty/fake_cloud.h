#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "duty/cloud_port.h"

namespace pistachiowalk::testing {

// Records its calls and answers each immediately with the configured status.
class FakeCloud final : public CloudPort {
 public:
  void ReportUsage(const DutyGrant& grant,
                   const UsageReport& report,
                   Callback callback) override {
    reports.emplace_back(grant, report);
    callback(NextStatus());
  }
  void OrderWorkers(const DutyGrant&,
                    const WorkerOrder& order,
                    Callback callback) override {
    orders.push_back(order);
    callback(NextStatus());
  }

  std::vector<std::pair<DutyGrant, UsageReport>> reports;
  std::vector<WorkerOrder> orders;
  // Statuses of the next calls; further calls return kDone.
  std::deque<CloudStatus> statuses;

 private:
  CloudStatus NextStatus() {
    if (statuses.empty()) {
      return CloudStatus::kDone;
    }
    const CloudStatus status = statuses.front();
    statuses.pop_front();
    return status;
  }
};

}  // namespace pistachiowalk::testing
