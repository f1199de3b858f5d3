#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "soak/soak_estate.h"
#include "soak/soak_plan.h"
#include "soak/witness.h"

// Plays random faults on one deployment of real gateway processes and checks
// what callers and endpoints see; see docs/TESTING.md.
namespace pistachiowalk::testing {
namespace {

namespace options = boost::program_options;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kExitSuccess = 0;
constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;
// The operators' bounds on their smaller deployments.
constexpr SoakTerms kTerms{.contact = milliseconds(4000),
                           .config_bound = milliseconds(2500),
                           .drain_bound = milliseconds(2500),
                           .limit_window = milliseconds(8000),
                           .limit_overage = 0.1,
                           .limit_slack = 110000.0};
// After the last fault all is served again within this time.
constexpr Duration kRecoveryTime = seconds(12);
constexpr Duration kMeasuredTime = seconds(3);
constexpr double kLeastServed = 0.9;
// The last requests and then the nodes themselves end within this time.
constexpr Duration kEndTime = seconds(6);
constexpr Duration kStopTime = seconds(10);
// Nodes up to which one data centre has three of them.
constexpr size_t kFewNodes = 12;
constexpr size_t kManyDataCenters = 6;

struct SoakOptions {
  uint64_t seed = 1;
  int seconds = 30;
  size_t nodes = 8;
  std::string folder;
};

// The phases of a run, each scheduled by the one before.
class SoakRunner {
 public:
  explicit SoakRunner(const SoakOptions& settings)
      : m_settings(settings),
        m_witness(kTerms),
        m_estate(m_loop,
                 m_witness,
                 EstateSize{.nodes = settings.nodes,
                            .data_centers = settings.nodes <= kFewNodes
                                                ? size_t{3}
                                                : kManyDataCenters,
                            .callers = 3 * settings.nodes},
                 settings.folder,
                 settings.seed),
        m_plan(m_loop, m_estate, settings.seed) {}

  int Run() {
    m_loop.Schedule(seconds(4), [this] {
      m_plan.Start(seconds(m_settings.seconds));
      m_loop.Schedule(seconds(m_settings.seconds),
                      [this] { m_estate.RestoreLimits(); });
      m_loop.Schedule(seconds(m_settings.seconds) + kRecoveryTime,
                      [this] { Measure(); });
    });
    m_loop.Run();
    Report();
    return m_witness.violations().empty() ? kExitSuccess : kExitViolation;
  }

 private:
  void Measure() {
    const size_t sent = m_witness.sent();
    const size_t served = m_witness.served();
    m_loop.Schedule(kMeasuredTime, [this, sent, served] {
      const auto asked = static_cast<double>(m_witness.sent() - sent);
      const auto answered = static_cast<double>(m_witness.served() - served);
      if (answered < kLeastServed * asked) {
        m_witness.NoteViolation(
            "recover", fmt::format("{} of {} were served", answered, asked));
      }
      m_estate.StopCallers();
      m_loop.Schedule(kEndTime, [this] { StopNodes(); });
    });
  }

  void StopNodes() {
    for (size_t node = 0; node < m_estate.node_count(); ++node) {
      m_estate.StopNode(node);
    }
    m_loop.Schedule(kStopTime, [this] { m_loop.Stop(); });
  }

  void Report() {
    for (const std::string& violation : m_witness.violations()) {
      std::cout << "violation " << violation << '\n';
    }
    for (const auto& [kind, count] : m_plan.counts()) {
      std::cout << fmt::format("fault {:3} {}\n", count, kind);
    }
    std::cout << fmt::format(
        "soak seed={} seconds={} nodes={} sent={} served={} refused={} runs={} "
        "violations={}\n",
        m_settings.seed, m_settings.seconds, m_settings.nodes, m_witness.sent(),
        m_witness.served(), m_witness.refused(), m_witness.runs(),
        m_witness.violations().size());
  }

  SoakOptions m_settings;
  EventLoop m_loop;
  Witness m_witness;
  SoakEstate m_estate;
  SoakPlan m_plan;
};

int Main(int argc, char** argv) {
  SoakOptions settings;
  options::options_description description("soak: random faults by a seed");
  description.add_options()("help,h", "show this help")(
      "seed", options::value(&settings.seed), "seed of the faults")(
      "seconds", options::value(&settings.seconds),
      "time in which faults come")("processes", options::value(&settings.nodes),
                                   "gateway processes")(
      "folder", options::value(&settings.folder)->required(),
      "takes the processes' settings and logs");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    if (values.contains("help")) {
      std::cout << description;
      return kExitSuccess;
    }
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "soak: " << error.what() << "; see soak --help\n";
    return kExitUsage;
  }
  if (settings.nodes == 0 || settings.nodes > 250 || settings.seconds < 0) {
    std::cerr << "soak: between 1 and 250 processes, and no negative time\n";
    return kExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::create_directories(settings.folder);
  return SoakRunner(settings).Run();
}

}  // namespace
}  // namespace pistachiowalk::testing

int main(int argc, char** argv) {
  return pistachiowalk::testing::Main(argc, argv);
}
