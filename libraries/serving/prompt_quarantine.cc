#include "serving/prompt_quarantine.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace pistachiowalk {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Crashes within this time count once, as many VMs may be reclaimed at once.
constexpr Duration kIncidentTime = milliseconds(200);
// Incidents that suffice to quarantine parts without a recent response: one may
// be a coincidence.
constexpr size_t kIncidentsOfFreshParts = 2;
// Incidents that suffice to quarantine parts of recent responses, or any parts
// on a node that has not seen responses for long enough.
constexpr size_t kIncidentsOfUsedParts = 4;
// Incidents that suffice although one worker had all of them.
constexpr size_t kIncidentsOfOneWorker = 4;
// Incidents that suffice to quarantine a request that was merely open, although
// another one was involved in all of them.
constexpr size_t kIncidentsWithCompanion = 3;
// If at least this many other workers ended in an incident, it is not the doing
// of one request.
constexpr size_t kWorkersOfLargeIncident = 3;
// Time within which all nodes notice the same end of a worker.
constexpr Duration kNoticeTime = milliseconds(500);
// Crashes that are remembered; messages to other nodes have fewer.
constexpr size_t kMaximumKnownCrashes = 256;
// Time for a response to refute that a used part caused a crash.
constexpr Duration kRefutationTime = seconds(2);
// Time after its start in which a node cannot tell parts that have never stood
// in a response.
constexpr Duration kHistoryTime = seconds(10);
// Time for which a crash counts as evidence.
constexpr Duration kCrashLifetime = minutes(10);
// A lifted quarantine is remembered this long, so that a node that was cut off
// does not restore it.
constexpr Duration kLiftedLifetime = minutes(10);
// Time from the start of a quarantine to its first probe, and the number of
// doublings of the intervals between probes.
constexpr Duration kFirstProbeInterval = seconds(60);
constexpr uint32_t kMaximumProbeDoublings = 6;

uint32_t AgeMs(TimePoint since, TimePoint now) {
  return static_cast<uint32_t>(
      std::chrono::duration_cast<milliseconds>(
          std::clamp<Duration>(now - since, Duration::zero(),
                               std::chrono::hours(24)))
          .count());
}

bool Contains(const CrashReport& report, PromptPartId part) {
  return std::any_of(
      report.parts.begin(), report.parts.end(),
      [part](const SuspectPart& suspect) { return suspect.part == part; });
}

bool ContainsAll(const std::vector<PromptPartId>& request,
                 const std::vector<PromptPartId>& parts) {
  return std::all_of(parts.begin(), parts.end(), [&request](PromptPartId part) {
    return std::find(request.begin(), request.end(), part) != request.end();
  });
}

// Time after the start of a quarantine at which its next probe is due.
Duration NextProbeAge(uint32_t probes) {
  const uint32_t doublings = std::min(probes, kMaximumProbeDoublings);
  const Duration longest =
      kFirstProbeInterval * (uint32_t{1} << kMaximumProbeDoublings);
  return kFirstProbeInterval * ((uint32_t{2} << doublings) - 1) +
         longest * (probes - doublings);
}

}  // namespace

PromptQuarantine::PromptQuarantine(TimePoint now)
    : m_started_at(now), m_sound_parts(now) {}

void PromptQuarantine::RecordBegun(const std::vector<PromptPartId>& parts,
                                   TimePoint sent_at,
                                   TimePoint now,
                                   std::optional<PromptPartId> fingerprint) {
  m_sound_parts.Add(parts, now);
  m_last_begun_at = now;
  std::vector<PromptPartId> begun = parts;
  if (fingerprint) {
    begun.push_back(*fingerprint);
  }
  Refute(begun, sent_at, now);
}

void PromptQuarantine::RecordAnswered(PromptPartId fingerprint,
                                      TimePoint sent_at,
                                      TimePoint now) {
  Refute({fingerprint}, sent_at, now);
}

void PromptQuarantine::Refute(const std::vector<PromptPartId>& parts,
                              TimePoint sent_at,
                              TimePoint now) {
  for (auto& [id, crash] : m_crashes) {
    if (sent_at <= crash.learned_at) {
      continue;
    }
    for (SuspectPart& suspect : crash.report.parts) {
      if (!suspect.is_refuted &&
          std::find(parts.begin(), parts.end(), suspect.part) != parts.end()) {
        suspect.is_refuted = true;
      }
    }
  }
  for (auto& [key, known] : m_prompts) {
    if (known.prompt.is_in_force() && sent_at > known.learned_at &&
        ContainsAll(parts, key)) {
      ChangePrompt(known, now);
    }
  }
}

void PromptQuarantine::RecordCrash(uint64_t id,
                                   uint64_t worker,
                                   const std::vector<PromptPartId>& parts,
                                   TimePoint happened_at) {
  CrashReport report{.id = id, .worker = worker};
  for (const PromptPartId part : parts) {
    if (report.parts.size() < kMaximumSuspectParts && !Contains(report, part)) {
      report.parts.push_back(SuspectPart{.part = part});
    }
  }
  if (report.parts.empty()) {
    return;
  }
  ++m_own_revision;
  AddCrash(std::move(report), happened_at, happened_at);
  Conclude(happened_at);
}

bool PromptQuarantine::IsSuspect(PromptPartId fingerprint) const {
  return std::any_of(
      m_crashes.begin(), m_crashes.end(), [fingerprint](const auto& entry) {
        const std::vector<SuspectPart>& parts = entry.second.report.parts;
        return std::any_of(parts.begin(), parts.end(),
                           [fingerprint](const SuspectPart& suspect) {
                             return suspect.part == fingerprint &&
                                    !suspect.is_refuted;
                           });
      });
}

bool PromptQuarantine::IsQuarantined(
    const std::vector<PromptPartId>& parts) const {
  return std::any_of(m_prompts.begin(), m_prompts.end(),
                     [&parts](const auto& entry) {
                       return entry.second.prompt.is_in_force() &&
                              ContainsAll(parts, entry.first);
                     });
}

bool PromptQuarantine::TryProbe(const std::vector<PromptPartId>& parts,
                                TimePoint now) {
  std::vector<KnownPrompt*> matching;
  for (auto& [key, known] : m_prompts) {
    if (!known.prompt.is_in_force() || !ContainsAll(parts, key)) {
      continue;
    }
    if (now - known.changed_at < NextProbeAge(known.prompt.probes)) {
      return false;
    }
    matching.push_back(&known);
  }
  for (KnownPrompt* known : matching) {
    ++known->prompt.probes;
    ++m_own_revision;
    ++m_revision;
  }
  return true;
}

bool PromptQuarantine::AreKnownSound(
    const std::vector<PromptPartId>& parts) const {
  return std::all_of(parts.begin(), parts.end(), [this](PromptPartId part) {
    return m_sound_parts.Contains(part);
  });
}

void PromptQuarantine::Merge(const QuarantineState& state,
                             TimePoint sent_at,
                             TimePoint now) {
  for (const CrashReport& report : state.reports) {
    AddCrash(report, sent_at - milliseconds(report.age_ms), now);
  }
  for (const QuarantinedPrompt& prompt : state.prompts) {
    MergePrompt(prompt, sent_at - milliseconds(prompt.age_ms), now);
  }
  if (m_has_new_crashes) {
    Conclude(now);
  }
}

void PromptQuarantine::AddCrash(CrashReport report,
                                TimePoint happened_at,
                                TimePoint now) {
  if (now - happened_at > kCrashLifetime || report.parts.empty()) {
    return;
  }
  const auto known = m_crashes.find(report.id);
  if (known != m_crashes.end()) {
    std::vector<SuspectPart>& parts = known->second.report.parts;
    for (size_t i = 0; i < std::min(parts.size(), report.parts.size()); ++i) {
      if (parts[i].part == report.parts[i].part) {
        parts[i].was_sound |= report.parts[i].was_sound;
        parts[i].is_refuted |= report.parts[i].is_refuted;
      }
    }
    return;
  }
  if (m_crashes.size() >= kMaximumKnownCrashes) {
    const auto oldest = std::min_element(
        m_crashes.begin(), m_crashes.end(), [](const auto& a, const auto& b) {
          return a.second.happened_at < b.second.happened_at;
        });
    if (oldest->second.happened_at >= happened_at) {
      return;
    }
    m_crashes.erase(oldest);
  }
  for (SuspectPart& suspect : report.parts) {
    suspect.was_sound |= m_sound_parts.Contains(suspect.part);
  }
  const uint64_t id = report.id;
  m_crashes.emplace(id, KnownCrash{.report = std::move(report),
                                   .happened_at = happened_at,
                                   .learned_at = now});
  m_has_new_crashes = true;
  ++m_revision;
}

void PromptQuarantine::MergePrompt(const QuarantinedPrompt& prompt,
                                   TimePoint changed_at,
                                   TimePoint now) {
  if (prompt.parts.empty() || prompt.version == 0 ||
      !std::is_sorted(prompt.parts.begin(), prompt.parts.end())) {
    return;
  }
  const auto found = m_prompts.find(prompt.parts);
  if (found == m_prompts.end()) {
    if (!prompt.is_in_force() && now - changed_at > kLiftedLifetime) {
      return;
    }
    MakeRoomForPrompt();
    m_prompts.emplace(prompt.parts, KnownPrompt{.prompt = prompt,
                                                .changed_at = changed_at,
                                                .learned_at = now});
    ++m_revision;
    if (prompt.is_in_force()) {
      ReportChange(prompt, true);
    }
    return;
  }
  KnownPrompt& known = found->second;
  if (prompt.version > known.prompt.version) {
    const bool is_flipped = prompt.is_in_force() != known.prompt.is_in_force();
    known = KnownPrompt{
        .prompt = prompt, .changed_at = changed_at, .learned_at = now};
    ++m_revision;
    if (is_flipped) {
      ReportChange(prompt, true);
    }
  } else if (prompt.version == known.prompt.version) {
    known.changed_at = std::min(known.changed_at, changed_at);
    if (prompt.probes > known.prompt.probes) {
      known.prompt.probes = prompt.probes;
      ++m_revision;
    }
  }
}

QuarantineState PromptQuarantine::State(TimePoint now) const {
  QuarantineState state;
  for (const KnownCrash* crash : ReportsToSend()) {
    state.reports.push_back(crash->report);
    state.reports.back().age_ms = AgeMs(crash->happened_at, now);
  }
  for (const auto& [key, known] : m_prompts) {
    state.prompts.push_back(known.prompt);
    state.prompts.back().age_ms = AgeMs(known.changed_at, now);
  }
  return state;
}

std::vector<const PromptQuarantine::KnownCrash*>
PromptQuarantine::ReportsToSend() const {
  std::map<PromptPartId, size_t> crashes_of;
  std::vector<const KnownCrash*> reports;
  for (const auto& [id, crash] : m_crashes) {
    reports.push_back(&crash);
    ++crashes_of[crash.report.parts.front().part];
  }
  if (reports.size() > kMaximumCrashReports) {
    const auto rank = [&crashes_of](const KnownCrash* crash) {
      return std::tuple(crashes_of[crash->report.parts.front().part],
                        crash->happened_at, crash->report.id);
    };
    std::sort(reports.begin(), reports.end(),
              [&rank](const KnownCrash* a, const KnownCrash* b) {
                return rank(a) > rank(b);
              });
    reports.resize(kMaximumCrashReports);
  }
  return reports;
}

void PromptQuarantine::Step(TimePoint now) {
  std::erase_if(m_crashes, [now](const auto& entry) {
    return now - entry.second.happened_at > kCrashLifetime;
  });
  std::erase_if(m_prompts, [now](const auto& entry) {
    return !entry.second.prompt.is_in_force() &&
           now - entry.second.changed_at > kLiftedLifetime;
  });
  Conclude(now);
}

size_t PromptQuarantine::quarantined_count() const {
  return static_cast<size_t>(std::count_if(
      m_prompts.begin(), m_prompts.end(),
      [](const auto& entry) { return entry.second.prompt.is_in_force(); }));
}

std::vector<QuarantineChange> PromptQuarantine::TakeChanges() {
  return std::exchange(m_changes, {});
}

void PromptQuarantine::ChangePrompt(KnownPrompt& known, TimePoint now) {
  ++known.prompt.version;
  if (known.prompt.is_in_force()) {
    known.prompt.probes = 0;
  }
  known.changed_at = now;
  known.learned_at = now;
  ++m_own_revision;
  ++m_revision;
  ReportChange(known.prompt, false);
}

void PromptQuarantine::ReportChange(const QuarantinedPrompt& prompt,
                                    bool is_from_peer) {
  CrashIds involved;
  for (const auto& [id, crash] : m_crashes) {
    if (std::all_of(prompt.parts.begin(), prompt.parts.end(),
                    [&report = crash.report](PromptPartId part) {
                      return Contains(report, part);
                    })) {
      involved.push_back(id);
    }
  }
  m_changes.push_back(
      QuarantineChange{.parts = prompt.parts,
                       .is_in_force = prompt.is_in_force(),
                       .crashes = static_cast<uint32_t>(involved.size()),
                       .workers = static_cast<uint32_t>(CountWorkers(involved)),
                       .probes = prompt.probes,
                       .is_from_peer = is_from_peer});
}

void PromptQuarantine::MakeRoomForPrompt() {
  if (m_prompts.size() < kMaximumQuarantinedPrompts) {
    return;
  }
  // Lifted quarantines go first, then the oldest.
  const auto rank = [](const auto& entry) {
    return std::pair(entry.second.prompt.is_in_force(),
                     entry.second.changed_at);
  };
  m_prompts.erase(std::min_element(
      m_prompts.begin(), m_prompts.end(),
      [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); }));
}

size_t PromptQuarantine::CountIncidents(const CrashIds& ids) const {
  std::vector<TimePoint> times;
  times.reserve(ids.size());
  for (const uint64_t id : ids) {
    times.push_back(m_crashes.at(id).happened_at);
  }
  std::sort(times.begin(), times.end());
  size_t incidents = 0;
  TimePoint last{};
  for (const TimePoint time : times) {
    if (incidents == 0 || time - last > kIncidentTime) {
      ++incidents;
      last = time;
    }
  }
  return incidents;
}

size_t PromptQuarantine::CountWorkers(const CrashIds& ids) const {
  std::set<uint64_t> workers;
  for (const uint64_t id : ids) {
    workers.insert(m_crashes.at(id).report.worker);
  }
  return workers.size();
}

const QuarantinedPrompt* PromptQuarantine::FindExplanation(
    const CrashReport& report) const {
  for (const auto& [key, known] : m_prompts) {
    if (known.prompt.is_in_force() &&
        std::all_of(key.begin(), key.end(), [&report](PromptPartId part) {
          return Contains(report, part);
        })) {
      return &known.prompt;
    }
  }
  return nullptr;
}

bool PromptQuarantine::HasFreshHistory(TimePoint now) const {
  return now - m_started_at >= kHistoryTime;
}

bool PromptQuarantine::IsFresh(const SuspectPart& suspect) const {
  return !suspect.was_sound && !m_sound_parts.Contains(suspect.part);
}

void PromptQuarantine::Conclude(TimePoint now) {
  m_has_new_crashes = false;
  // NOTE: Bounds the work if quarantines displace each other.
  size_t rounds = kMaximumQuarantinedPrompts;
  while (rounds > 0 && ConcludeOnce(true, now)) {
    --rounds;
  }
  while (rounds > 0 && ConcludeOnce(false, now)) {
    --rounds;
  }
}

bool PromptQuarantine::AreMerelyOpen(const CrashIds& ids) const {
  return std::all_of(ids.begin(), ids.end(), [this](uint64_t id) {
    return m_crashes.at(id).report.is_merely_open();
  });
}

PromptQuarantine::CrashIds PromptQuarantine::LeaveOutLargeIncidents(
    const CrashIds& ids) const {
  std::set<uint64_t> own_workers;
  for (const uint64_t id : ids) {
    own_workers.insert(m_crashes.at(id).report.worker);
  }
  CrashIds kept;
  for (const uint64_t id : ids) {
    const TimePoint happened_at = m_crashes.at(id).happened_at;
    std::set<uint64_t> other_workers;
    for (const auto& [other, crash] : m_crashes) {
      const Duration apart = crash.happened_at > happened_at
                                 ? crash.happened_at - happened_at
                                 : happened_at - crash.happened_at;
      if (apart <= kIncidentTime &&
          !own_workers.contains(crash.report.worker)) {
        other_workers.insert(crash.report.worker);
      }
    }
    if (other_workers.size() < kWorkersOfLargeIncident) {
      kept.push_back(id);
    }
  }
  return kept;
}

bool PromptQuarantine::IsSameCrash(uint64_t first, uint64_t second) const {
  const KnownCrash& a = m_crashes.at(first);
  const KnownCrash& b = m_crashes.at(second);
  return a.report.worker == b.report.worker &&
         a.happened_at - b.happened_at <= kNoticeTime &&
         b.happened_at - a.happened_at <= kNoticeTime;
}

size_t PromptQuarantine::CountCompanionIncidents(
    const CrashIds& ids,
    const CrashesByPart& crashes_of) const {
  size_t incidents = 0;
  for (const auto& [part, others] : crashes_of) {
    if (others.size() < ids.size() || others == ids) {
      continue;
    }
    const bool is_companion = std::all_of(
        ids.begin(), ids.end(), [&others = others, this](uint64_t id) {
          return std::any_of(
              others.begin(), others.end(),
              [id, this](uint64_t other) { return IsSameCrash(id, other); });
        });
    if (is_companion) {
      incidents = std::max(incidents, CountIncidents(others));
    }
  }
  return incidents;
}

bool PromptQuarantine::SufficeToQuarantine(const CrashIds& ids,
                                           const CrashesByPart& crashes_of,
                                           bool is_fresh) const {
  const size_t needed =
      is_fresh ? kIncidentsOfFreshParts : kIncidentsOfUsedParts;
  const bool are_merely_open = AreMerelyOpen(ids);
  const size_t incidents =
      CountIncidents(are_merely_open ? LeaveOutLargeIncidents(ids) : ids);
  if (incidents >= needed && are_merely_open) {
    const size_t companion = CountCompanionIncidents(ids, crashes_of);
    // NOTE: One that was at more crashes explains these as well.
    if (companion > incidents ||
        (companion > 0 && incidents < kIncidentsWithCompanion)) {
      return false;
    }
  }
  if (incidents < needed ||
      (CountWorkers(ids) <= 1 && incidents < kIncidentsOfOneWorker)) {
    return false;
  }
  // NOTE: Engines that crash on every prompt refute no part, so a used one is
  // quarantined only if other prompts are answered.
  return is_fresh || std::all_of(ids.begin(), ids.end(), [this](uint64_t id) {
           return m_last_begun_at &&
                  *m_last_begun_at > m_crashes.at(id).learned_at;
         });
}

bool PromptQuarantine::ConcludeOnce(bool is_fresh, TimePoint now) {
  // The crashes in which each part is a suspect.
  CrashesByPart crashes_of;
  std::set<PromptPartId> unexplained;
  for (const auto& [id, crash] : m_crashes) {
    const bool is_merely_open = crash.report.is_merely_open();
    if (is_fresh ? !is_merely_open && !HasFreshHistory(now)
                 : is_merely_open || now - crash.learned_at < kRefutationTime) {
      continue;
    }
    const QuarantinedPrompt* explanation = FindExplanation(crash.report);
    for (const SuspectPart& suspect : crash.report.parts) {
      if (suspect.is_refuted || (is_fresh && !IsFresh(suspect))) {
        continue;
      }
      // NOTE: A used part that is not under suspicion already counts only in
      // crashes that nothing else explains, as it shares many requests with the
      // parts that do.
      if (explanation != nullptr && !is_fresh &&
          !std::binary_search(explanation->parts.begin(),
                              explanation->parts.end(), suspect.part)) {
        continue;
      }
      crashes_of[suspect.part].push_back(id);
      if (explanation == nullptr) {
        unexplained.insert(suspect.part);
      }
    }
  }
  const CrashIds* most = nullptr;
  for (const PromptPartId part : unexplained) {
    const CrashIds& ids = crashes_of[part];
    if (SufficeToQuarantine(ids, crashes_of, is_fresh) &&
        (most == nullptr || ids.size() > most->size())) {
      most = &ids;
    }
  }
  if (most == nullptr) {
    return false;
  }
  std::vector<PromptPartId> group;
  for (const auto& [part, ids] : crashes_of) {
    if (ids == *most) {
      group.push_back(part);
    }
  }
  if (!m_prompts.contains(group)) {
    MakeRoomForPrompt();
  }
  KnownPrompt& known = m_prompts[group];
  known.prompt.parts = std::move(group);
  ChangePrompt(known, now);
  return true;
}

}  // namespace pistachiowalk
