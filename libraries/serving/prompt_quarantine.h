#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "serving/quarantine_change.h"
#include "serving/quarantine_state.h"
#include "serving/sound_parts.h"

namespace pistachiowalk {

// Finds the prompt parts that crash workers and refuses the requests that
// contain them. Each node reports the crashes that its own requests were about
// to begin a response in; all nodes merge the reports of all, and each draws
// the same conclusions from them.
//
// Each crash of such a request is evidence against all of its shared parts and
// against the request itself, whose fingerprint stands among them. The cause is
// what several crashes of different workers have in common and what has not
// stood in a response that began. Parts that cannot be told apart by this are
// quarantined together: only requests with all of them are refused. So crashes
// by one request that comes again cost no other request with its parts.
//
// An attempt that was merely open when its worker ended is weaker evidence, and
// only against the request itself: a worker that ends takes all that it runs
// with it. Such a request is quarantined after two incidents if no other one
// was involved in both, and otherwise after three.
//
// This covers single requests that crash each worker that begins to run them
// and come again, and prompts with a part on which each worker crashes that
// begins a response, among sound requests with the same customer and the same
// other parts, at many nodes at once.
class PromptQuarantine {
 public:
  explicit PromptQuarantine(TimePoint now);

  // A response began in an attempt that was sent at `sent_at`. The request's
  // fingerprint is needed while NeedsFingerprints().
  void RecordBegun(const std::vector<PromptPartId>& parts,
                   TimePoint sent_at,
                   TimePoint now,
                   std::optional<PromptPartId> fingerprint = std::nullopt);
  // A response to the request with the fingerprint ended in an attempt that was
  // sent at `sent_at`, whatever its status.
  void RecordAnswered(PromptPartId fingerprint,
                      TimePoint sent_at,
                      TimePoint now);
  // Whether crashes or quarantines are known, which responses may refute.
  bool NeedsFingerprints() const {
    return !m_crashes.empty() || !m_prompts.empty();
  }
  // A worker ended at `happened_at`, and an attempt with `parts`, among them
  // the request's fingerprint, was about to begin its response. An attempt of
  // which no more is known than that it was open has only the fingerprint. `id`
  // is random.
  void RecordCrash(uint64_t id,
                   uint64_t worker,
                   const std::vector<PromptPartId>& parts,
                   TimePoint happened_at);

  // Whether a request is refused; `parts` contain its fingerprint.
  bool IsQuarantined(const std::vector<PromptPartId>& parts) const;
  // Returns true if a quarantined request may be sent to test whether its parts
  // still crash workers, and counts it. The caller must be the only node that
  // does this. The intervals between probes double.
  bool TryProbe(const std::vector<PromptPartId>& parts, TimePoint now);
  // Whether a worker ended under the request with the fingerprint, and no
  // response has refuted since that it was the cause.
  bool IsSuspect(PromptPartId fingerprint) const;
  // Whether a response to a prompt with each of the parts began recently here.
  bool AreKnownSound(const std::vector<PromptPartId>& parts) const;

  // Merges what another node knew at `sent_at`.
  void Merge(const QuarantineState& state, TimePoint sent_at, TimePoint now);
  QuarantineState State(TimePoint now) const;
  // Forgets what is too old; must be called periodically.
  void Step(TimePoint now);

  // Increases when this node learns something first hand.
  uint64_t own_revision() const { return m_own_revision; }
  // Increases when a crash or a change of a quarantine becomes known.
  uint64_t revision() const { return m_revision; }
  size_t quarantined_count() const;
  // Returns the changes since the last call.
  std::vector<QuarantineChange> TakeChanges();

 private:
  struct KnownCrash {
    CrashReport report;
    TimePoint happened_at{};
    TimePoint learned_at{};
  };
  struct KnownPrompt {
    QuarantinedPrompt prompt;
    TimePoint changed_at{};
    TimePoint learned_at{};
  };
  using CrashIds = std::vector<uint64_t>;
  using CrashesByPart = std::map<PromptPartId, CrashIds>;

  void AddCrash(CrashReport report, TimePoint happened_at, TimePoint now);
  void MergePrompt(const QuarantinedPrompt& prompt,
                   TimePoint changed_at,
                   TimePoint now);
  void ChangePrompt(KnownPrompt& known, TimePoint now);
  // A response to a request with the parts began.
  void Refute(const std::vector<PromptPartId>& parts,
              TimePoint sent_at,
              TimePoint now);
  // The reports that a message has room for: those of parts with most crashes,
  // then the latest.
  std::vector<const KnownCrash*> ReportsToSend() const;
  // Quarantines what the crashes show.
  void Conclude(TimePoint now);
  // Quarantines the parts with most crashes, if any have enough; `is_fresh`
  // limits this to parts that stood in no recent response.
  bool ConcludeOnce(bool is_fresh, TimePoint now);
  // The quarantine in force that explains the crash, or nullptr.
  const QuarantinedPrompt* FindExplanation(const CrashReport& report) const;
  bool HasFreshHistory(TimePoint now) const;
  bool IsFresh(const SuspectPart& suspect) const;
  void MakeRoomForPrompt();
  // Crashes that happened at clearly different times.
  size_t CountIncidents(const CrashIds& ids) const;
  // Whether the crashes suffice to quarantine a part involved in all of them.
  bool SufficeToQuarantine(const CrashIds& ids,
                           const CrashesByPart& crashes_of,
                           bool is_fresh) const;
  // Whether each of the reports is of an attempt that was merely open.
  bool AreMerelyOpen(const CrashIds& ids) const;
  // Without those at which many other workers ended too.
  CrashIds LeaveOutLargeIncidents(const CrashIds& ids) const;
  // The highest number of incidents of a part of other requests that were at
  // the same workers when these ended; 0 if there is none.
  size_t CountCompanionIncidents(const CrashIds& ids,
                                 const CrashesByPart& crashes_of) const;
  // Whether both reports are of the same end of a worker.
  bool IsSameCrash(uint64_t first, uint64_t second) const;
  size_t CountWorkers(const CrashIds& ids) const;
  void ReportChange(const QuarantinedPrompt& prompt, bool is_from_peer);

  TimePoint m_started_at;
  // When the last response began, to whatever prompt.
  std::optional<TimePoint> m_last_begun_at;
  SoundParts m_sound_parts;
  std::map<uint64_t, KnownCrash> m_crashes;
  std::map<std::vector<PromptPartId>, KnownPrompt> m_prompts;
  // Crashes became known since the last conclusion.
  bool m_has_new_crashes = false;
  uint64_t m_own_revision = 0;
  uint64_t m_revision = 0;
  std::vector<QuarantineChange> m_changes;
};

}  // namespace pistachiowalk
