#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "serving/limit_senders.h"
#include "serving/named_rate_limit.h"
#include "serving/worker_limit_report.h"

namespace pistachiowalk {

// The limits that workers name for the requests of all nodes together, as known
// to one node, and the node's own share of them.
//
// A limit holds until a response no longer names one. Nodes tell each other
// what they read, and the most recent response counts. Of each limited worker a
// few nodes may send, each at an even part of the limit (ChooseLimitSender()).
//
// This covers workers in need of relief at deployments of up to hundreds of
// nodes, most of which never see a response of a given worker.
class WorkerLimits {
 public:
  // Returns this node's part in the requests to a worker with that limit.
  using SenderOf =
      std::function<LimitSender(uint64_t worker, double requests_per_second)>;

  // Takes the limit that a response named. Returns true if it is news.
  bool Observe(uint64_t worker, const NamedRateLimit& limit, TimePoint now);
  // Merges what another node had read at `sent_at`. Returns the workers of
  // which it is news.
  std::vector<uint64_t> Merge(const std::vector<WorkerLimitReport>& reports,
                              TimePoint sent_at,
                              TimePoint now);
  // Computes the shares anew and forgets old limits; must be called
  // periodically.
  void Step(const SenderOf& sender_of, TimePoint now);

  bool IsLimited(uint64_t worker) const;
  // The limit of a worker; nullopt if it has none.
  std::optional<double> LimitOf(uint64_t worker) const;
  // Whether this node may send a request to the worker now.
  bool CanSend(uint64_t worker, TimePoint now) const;
  // Time until this node may send; nullopt if others do.
  std::optional<Duration> TimeUntilSend(uint64_t worker, TimePoint now) const;
  // Counts an attempt, of whatever kind.
  void RecordSend(uint64_t worker, TimePoint now);

  // Reports of all workers, or only of responses that this node read after
  // `since`.
  std::vector<WorkerLimitReport> Reports(TimePoint now) const;
  std::vector<WorkerLimitReport> OwnReports(TimePoint since,
                                            TimePoint now) const;
  size_t limited_count() const;
  // Increases when a limit changes by a response that this node read, or by
  // any.
  uint64_t own_revision() const { return m_own_revision; }
  uint64_t revision() const { return m_revision; }

 private:
  struct Known {
    bool is_limited = false;
    double requests_per_second = 0.0;
    // When the response was read, by this node or by another.
    TimePoint observed_at{};
    std::optional<TimePoint> own_observed_at;
    LimitSender sender;
    // Requests that this node may send, as of `refilled_at`.
    double tokens = 0.0;
    TimePoint refilled_at{};
  };

  // Returns true if the limit has changed notably.
  bool Apply(Known& known,
             bool is_limited,
             double requests_per_second,
             TimePoint observed_at,
             TimePoint now);
  static double RateOf(const Known& known);
  static double TokensAt(const Known& known, TimePoint now);
  const Known* FindLimited(uint64_t worker) const;

  std::map<uint64_t, Known> m_workers;
  uint64_t m_own_revision = 0;
  uint64_t m_revision = 0;
};

}  // namespace pistachiowalk
