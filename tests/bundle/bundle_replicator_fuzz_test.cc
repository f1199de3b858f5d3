#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "bundle/bundle_replicator.h"
#include "bundle/roll_plan.h"
#include "bundle/sample_bundle.h"
#include "support/criterion.h"

using namespace pistachiowalk;
using pistachiowalk::testing::SampleBundle;

namespace {

constexpr size_t kNodes = 7;
constexpr int kSteps = 1500;
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
// All nodes must have the latest version within this time after the last
// fault.
constexpr Duration kConvergenceTimeout = std::chrono::seconds(40);

// A defect injected into the system under test that the oracle must detect.
enum class InjectedDefect {
  kNone,
  kWrongVersions,
  kAcceptUnsigned,
  kDropRequests
};

std::string LargeText(BundleVersion version) {
  std::string text = SampleBundle(static_cast<int>(version));
  for (int i = 0; i < 150; ++i) {
    text += "; padding that makes the bundle large enough to be a chain\n";
  }
  return text + "; of version " + std::to_string(version) + "\n";
}

// The violated invariant; empty if there is none.
using Violation = std::string;

// Simulates a few nodes, a store and a network whose faults derive from one
// seed. The oracle checks activations against the accepted texts, the highest
// accepted version and each node's previous version.
class ReplicationFuzzer {
 public:
  ReplicationFuzzer(uint64_t seed, InjectedDefect defect)
      : m_random(seed), m_defect(defect) {
    for (size_t i = 0; i < kNodes; ++i) {
      m_names.push_back(NodeId("n" + std::to_string(i)));
    }
    for (size_t i = 0; i < kNodes; ++i) {
      Start(i);
    }
  }

  Violation Run() {
    for (int i = 0; i < kSteps && m_violation.empty(); ++i) {
      InjectRandomFault();
      Advance();
    }
    ClearFaults();
    for (Duration passed{}; passed < kConvergenceTimeout && m_violation.empty();
         passed += kTickInterval) {
      Advance();
    }
    for (size_t i = 0; i < kNodes && m_violation.empty(); ++i) {
      if (m_nodes[i].version != m_accepted) {
        m_violation = "disagreement";
      }
    }
    return m_violation;
  }

 private:
  struct Node {
    std::unique_ptr<BundleReplicator> core;
    bool is_paused = false;
    bool is_cut_off = false;
    bool is_store_reachable = true;
    // The active version; reset by a restart.
    BundleVersion version = 0;
    uint64_t generation = 0;
  };
  struct Message {
    size_t from = 0;
    size_t to = 0;
    NodeEnvelope envelope;
  };
  struct Call {
    size_t node = 0;
    uint64_t generation = 0;
    uint64_t number = 0;
    std::string key;
    TimePoint until;
    StoreRevision after = 0;
  };

  size_t RandomBelow(size_t bound) {
    return std::uniform_int_distribution<size_t>(0, bound - 1)(m_random);
  }
  bool OneIn(size_t odds) { return RandomBelow(odds) == 0; }

  void Start(size_t index) {
    Node& node = m_nodes[index];
    ++node.generation;
    node.version = 0;
    node.is_paused = false;
    node.core = std::make_unique<BundleReplicator>(
        m_names[index],
        [this](SignedBundle bundle) { return Check(std::move(bundle)); },
        m_random(), m_now);
    ReplicationPeers peers{.local = m_names,
                           .watchers = {m_names[0], m_names[1]},
                           .total_watchers = 2};
    node.core->SetPeers(peers);
  }

  // A signature is valid if it is "good" and the text was rolled. The version
  // is taken from the text.
  BundleVerification Check(SignedBundle bundle) {
    const bool is_signed = bundle.signatures.size() == 1 &&
                           bundle.signatures.front().signature_hex == "good" &&
                           m_rolled.contains(bundle.text);
    if (!is_signed && m_defect != InjectedDefect::kAcceptUnsigned) {
      return {.error = "unsigned"};
    }
    Bundle parsed;
    const size_t at = bundle.text.find("version = ");
    parsed.version =
        at == std::string::npos ? 0 : std::stoull(bundle.text.substr(at + 10));
    if (m_defect == InjectedDefect::kWrongVersions && OneIn(20)) {
      parsed.version += 1000;
    }
    return {
        .bundle = std::make_shared<const Bundle>(parsed),
        .envelope = std::make_shared<const SignedBundle>(std::move(bundle))};
  }

  void Roll() {
    const SignedBundle bundle{LargeText(m_accepted + 1),
                              {{SigningKeyId("ops"), "good"}}};
    const auto current = m_text.empty() ? std::nullopt : std::optional(m_text);
    const RollPlan plan = PlanRoll(m_stored, current, ++m_accepted, bundle);
    if (plan.snapshot) {
      m_store[plan.snapshot->key] = plan.snapshot->text;
    }
    m_stored = plan.next;
    m_text = bundle.text;
    m_rolled.insert(m_text);
    m_store[kKey] = SerializeStoredBundle(m_stored);
    ++m_revision;
  }

  void InjectRandomFault() {
    if (OneIn(8)) {
      Roll();
    }
    Node& node = m_nodes[RandomBelow(kNodes)];
    switch (RandomBelow(60)) {
      case 0:
        Start(static_cast<size_t>(&node - m_nodes));
        return;
      case 1:
        node.is_paused = !node.is_paused;
        return;
      case 2:
        node.is_cut_off = !node.is_cut_off;
        return;
      case 3:
        node.is_store_reachable = !node.is_store_reachable;
        return;
      case 4:
        m_is_store_up = !m_is_store_up;
        return;
      case 5:
        InjectUnsigned();
        return;
      case 6:
        if (!m_history.empty()) {
          m_messages.push_back(m_history[RandomBelow(m_history.size())]);
        }
        return;
      default:
        return;
    }
  }

  // Sends content from a trusted peer without a valid signature.
  void InjectUnsigned() {
    BundleContentMessage message{.version = m_accepted + 50,
                                 .origin = m_names[0],
                                 .signatures = {{SigningKeyId("ops"), "bad"}},
                                 .text = LargeText(m_accepted + 50)};
    m_messages.push_back({RandomBelow(kNodes), RandomBelow(kNodes),
                          NodeEnvelope{.sender = m_names[0],
                                       .kind = NodeMessageKind::kBundleContent,
                                       .payload = EncodeMessage(message)}});
  }

  void ClearFaults() {
    m_is_store_up = true;
    m_loss_odds = 100;
    for (size_t i = 0; i < kNodes; ++i) {
      m_nodes[i].is_paused = false;
      m_nodes[i].is_cut_off = false;
      m_nodes[i].is_store_reachable = true;
    }
  }

  void Advance() {
    m_now += kTickInterval;
    for (size_t i = 0; i < kNodes; ++i) {
      if (!m_nodes[i].is_paused) {
        BundleReplicatorCommands commands;
        m_nodes[i].core->Tick(m_now, commands);
        Perform(i, commands);
      }
    }
    AnswerCalls();
    for (size_t left = m_messages.size(); left > 0; --left) {
      Message message = std::move(m_messages.front());
      m_messages.pop_front();
      Deliver(message);
    }
  }

  void Deliver(const Message& message) {
    Node& node = m_nodes[message.to];
    const bool is_lost = node.is_paused || node.is_cut_off ||
                         m_nodes[message.from].is_cut_off || OneIn(m_loss_odds);
    if (is_lost) {
      return;
    }
    if (m_history.size() < 500) {
      m_history.push_back(message);
    }
    NodeEnvelope envelope = message.envelope;
    if (OneIn(200)) {
      envelope.payload.resize(RandomBelow(envelope.payload.size() + 1));
    }
    BundleReplicatorCommands commands;
    node.core->Receive(envelope, m_now, commands);
    Perform(message.to, commands);
  }

  void AnswerCalls() {
    std::deque<Call> waiting;
    waiting.swap(m_calls);
    for (Call& call : waiting) {
      Node& node = m_nodes[call.node];
      if (node.generation != call.generation) {
        continue;
      }
      const bool is_up = m_is_store_up && node.is_store_reachable;
      if (is_up && call.key == kKey && call.after >= m_revision &&
          m_now < call.until) {
        m_calls.push_back(call);
        continue;
      }
      // Some answers are lost.
      if (node.is_paused || OneIn(50)) {
        continue;
      }
      const StoreResult result =
          is_up ? StoreResult{StoreStatus::kOk, m_revision, m_store[call.key]}
                : StoreResult{};
      BundleReplicatorCommands commands;
      node.core->OnStoreAnswer(call.number, result, m_now, commands);
      Perform(call.node, commands);
    }
  }

  void Perform(size_t index, const BundleReplicatorCommands& commands) {
    Node& node = m_nodes[index];
    for (const BundleReplicatorCommand& command : commands) {
      if (const auto* send = std::get_if<SendBundleMessage>(&command)) {
        Send(index, *send);
      } else if (const auto* watch = std::get_if<WatchBundle>(&command)) {
        m_calls.push_back({index, node.generation, watch->call, kKey,
                           m_now + kBundleWatchWait, watch->after});
      } else if (const auto* read = std::get_if<ReadBundleSnapshot>(&command)) {
        m_calls.push_back(
            {index, node.generation, read->call, read->key, m_now, 0});
      } else if (const auto* activation =
                     std::get_if<ActivateBundle>(&command)) {
        CheckActivation(index, *activation);
      }
    }
  }

  void Send(size_t index, const SendBundleMessage& send) {
    const auto to = std::find(m_names.begin(), m_names.end(), send.to);
    const bool is_dropped = m_defect == InjectedDefect::kDropRequests &&
                            send.kind == NodeMessageKind::kBundleRequest;
    if (to == m_names.end() || is_dropped) {
      return;
    }
    m_messages.push_back({index, static_cast<size_t>(to - m_names.begin()),
                          NodeEnvelope{.sender = m_names[index],
                                       .kind = send.kind,
                                       .payload = send.payload}});
  }

  void CheckActivation(size_t index, const ActivateBundle& activation) {
    Node& node = m_nodes[index];
    const size_t at = activation.envelope->text.find("version = ");
    const BundleVersion version =
        std::stoull(activation.envelope->text.substr(at + 10));
    if (!m_rolled.contains(activation.envelope->text)) {
      m_violation = "unsigned content in force";
    } else if (version <= node.version) {
      m_violation = "reverted";
    } else if (version > m_accepted) {
      m_violation = "never accepted";
    }
    node.version = version;
  }

  static constexpr const char* kKey = "bundle/current";

  std::mt19937_64 m_random;
  InjectedDefect m_defect;
  TimePoint m_now{std::chrono::hours(1)};
  std::vector<NodeId> m_names;
  Node m_nodes[kNodes];
  std::deque<Message> m_messages;
  std::vector<Message> m_history;
  std::deque<Call> m_calls;
  std::map<std::string, std::string> m_store;
  std::set<std::string> m_rolled;
  StoredBundle m_stored;
  std::string m_text;
  StoreRevision m_revision = 0;
  BundleVersion m_accepted = 0;
  bool m_is_store_up = true;
  size_t m_loss_odds = 10;
  Violation m_violation;
};

// The distinct violations found with the first `seeds` seeds.
std::set<Violation> ViolationsOf(InjectedDefect defect, uint64_t seeds) {
  std::set<Violation> violations;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const Violation violation = ReplicationFuzzer(seed, defect).Run();
    if (!violation.empty()) {
      violations.insert(violation);
    }
  }
  return violations;
}

}  // namespace

Test(bundle_replicator_fuzz, versions_only_increase_and_all_nodes_converge) {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    const Violation violation =
        ReplicationFuzzer(seed, InjectedDefect::kNone).Run();
    cr_assert(violation.empty(), "seed %lu: %s",
              static_cast<unsigned long>(seed), violation.c_str());
  }
}

Test(bundle_replicator_fuzz, the_oracle_detects_wrong_versions) {
  const auto violations = ViolationsOf(InjectedDefect::kWrongVersions, 5);
  cr_assert(violations.contains("reverted") ||
            violations.contains("disagreement"));
}

Test(bundle_replicator_fuzz, the_oracle_detects_unsigned_content) {
  cr_assert(ViolationsOf(InjectedDefect::kAcceptUnsigned, 5)
                .contains("unsigned content in force"));
}

Test(bundle_replicator_fuzz, the_oracle_detects_dropped_requests) {
  cr_assert(
      ViolationsOf(InjectedDefect::kDropRequests, 5).contains("disagreement"));
}

Test(bundle_message_fuzz, mutated_payloads_are_decoded_or_rejected) {
  std::mt19937_64 random(3);
  BundleContentMessage message{.version = 3,
                               .origin = NodeId("n1"),
                               .signatures = {{SigningKeyId("ops"), "00"}},
                               .chain = {{1, 2, {{0, 5, "text"}}}},
                               .text = "whole"};
  const std::string whole = EncodeMessage(message);
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = whole;
    for (int j = 0; j < 3; ++j) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(random() % (bytes.size() + 1));
    if (const auto decoded = DecodeMessage<BundleContentMessage>(bytes)) {
      static_cast<void>(ApplyChain("abc", 1, decoded->chain));
    }
  }
}
