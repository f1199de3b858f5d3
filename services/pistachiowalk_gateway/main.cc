#include <boost/leaf.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/event_log.h"
#include "base/system_clock.h"
#include "gateway/gateway.h"
#include "gateway/gateway_log_events.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "platform/cloud_client.h"
#include "platform/header_format.h"
#include "platform/platform_deployment_codec.h"
#include "platform/settings_codec.h"
#include "platform/store_client.h"

// Entry point of the gateway process.
namespace pistachiowalk {
namespace {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

constexpr int kExitSuccess = 0;
constexpr int kExitCannotRun = 1;
constexpr int kExitUsage = 2;
constexpr int kExitGracePeriodExpired = 4;
// How often the settings file is checked for changes, as it may change without
// a SIGHUP.
constexpr Duration kSettingsInterval = std::chrono::seconds(2);

options::options_description MakeOptions() {
  options::options_description description(
      "pistachiowalk-gateway: forwards callers' requests to endpoints "
      "according to the config in the platform's store.\n\n"
      "The settings file is named by --config or by the environment variable "
      "PISTACHIOWALK_CONFIG. On SIGTERM it completes accepted requests and "
      "exits with 0, or with 4 if the grace period expires first; on SIGHUP "
      "it reloads the settings."
      "\n\nOptions");
  description.add_options()("help,h", "show this help")(
      "config,c", options::value<std::string>(), "settings file (JSON)")(
      "check-settings", "check the settings and exit");
  return description;
}

// Blocks or unblocks SIGTERM and SIGHUP. They stay blocked until the event loop
// handles them, as their default action would terminate a starting process.
void SetStopSignalMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGHUP);
  sigprocmask(how, &signals, nullptr);
}

leaf::result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return leaf::new_error(
        platform::SettingsError{path + ": cannot open the file"});
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

leaf::result<std::string> SettingsPath(const options::variables_map& values) {
  if (values.contains("config")) {
    return values["config"].as<std::string>();
  }
  const char* path = std::getenv(platform::kSettingsPathVariable);
  if (path == nullptr) {
    return leaf::new_error(platform::SettingsError{
        "no settings file: give --config, or set PISTACHIOWALK_CONFIG"});
  }
  return path;
}

// Reloads the settings when the content of the settings file has changed.
class SettingsWatcher {
 public:
  SettingsWatcher(EventLoop& loop,
                  Gateway& gateway,
                  std::string path,
                  std::string text)
      : m_loop(loop),
        m_gateway(gateway),
        m_path(std::move(path)),
        m_text(std::move(text)) {
    m_loop.OnSignal(SIGHUP, [this] { Check(); });
    Schedule();
  }

 private:
  void Schedule() {
    m_loop.Schedule(kSettingsInterval, [this] {
      Check();
      Schedule();
    });
  }

  void Check() {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(text, ReadFile(m_path));
          if (text == m_text) {
            return {};
          }
          m_text = text;
          BOOST_LEAF_AUTO(settings, platform::ReadSettings(text));
          m_gateway.Reload(settings);
          return {};
        },
        [](const platform::SettingsError& error) {
          LogEvent(gateway_log::kReloadRefused, {{"reason", error.detail}});
        },
        [] {
          LogEvent(gateway_log::kReloadRefused, {{"reason", "unknown"}});
        });
  }

  EventLoop& m_loop;
  Gateway& m_gateway;
  std::string m_path;
  std::string m_text;
};

leaf::result<int> Serve(const options::variables_map& values) {
  BOOST_LEAF_AUTO(path, SettingsPath(values));
  BOOST_LEAF_AUTO(text, ReadFile(path));
  BOOST_LEAF_AUTO(settings, platform::ReadSettings(text));
  if (values.contains("check-settings")) {
    std::cout << "the settings are valid\n";
    return kExitSuccess;
  }
  std::signal(SIGPIPE, SIG_IGN);
  InitializeBoundedLogging(LogLevel::kInfo);
  const SystemClock clock;
  EventLoop loop;
  const platform::HeaderFormat headers;
  const platform::PlatformDeploymentCodec deployment;
  StoreHistoryTracker store_history;
  platform::StoreClient store(loop, settings.store, store_history);
  platform::CloudClient cloud(loop, settings.cloud);
  BOOST_LEAF_AUTO(
      gateway,
      Gateway::Create(settings, GatewayPorts{.loop = loop,
                                             .clock = clock,
                                             .store = store,
                                             .prefix_store = store,
                                             .store_history = store_history,
                                             .cloud = cloud,
                                             .wire = headers,
                                             .codec = deployment}));
  const SettingsWatcher watcher(loop, *gateway, path, text);
  loop.OnSignal(SIGTERM, [&gateway = *gateway] { gateway.BeginStop(); });
  SetStopSignalMask(SIG_UNBLOCK);
  return gateway->Run() == StopReason::kStopped ? kExitSuccess
                                                : kExitGracePeriodExpired;
}

int Main(int argc, char** argv) {
  SetStopSignalMask(SIG_BLOCK);
  const options::options_description description = MakeOptions();
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
  } catch (const options::error& error) {
    std::cerr << "pistachiowalk-gateway: " << error.what()
              << "; see pistachiowalk-gateway --help\n";
    return kExitUsage;
  }
  if (values.contains("help")) {
    std::cout << description;
    return kExitSuccess;
  }
  return leaf::try_handle_all(
      [&] { return Serve(values); },
      [](const platform::SettingsError& error) {
        std::cerr << "pistachiowalk-gateway: settings: " << error.detail
                  << '\n';
        return kExitUsage;
      },
      [](const NetError& error) {
        std::cerr << "pistachiowalk-gateway: " << error.detail << '\n';
        return kExitCannotRun;
      },
      [] {
        std::cerr << "pistachiowalk-gateway: cannot start\n";
        return kExitCannotRun;
      });
}

}  // namespace
}  // namespace pistachiowalk

int main(int argc, char** argv) {
  return pistachiowalk::Main(argc, argv);
}
