#include "daemon/deployment.h"

#include <unistd.h>

#include <cstdlib>
#include <string_view>

#include "bundle/customer_key.h"
#include "support/raw_http.h"

namespace pistachiowalk::testing {
namespace {

constexpr const char* kEntryProgram = "services/pistachiowalkd/pistachiowalkd";

}  // namespace

std::string DeploymentBundle(int version) {
  return "[bundle]\nname = test\nschema = 1\nversion = " +
         std::to_string(version) +
         "\n[place p]\ndata_center = p\nregion = r\n"
         "[service chat]\nkind = model\nmodel = m\nplaces = p\n"
         "deadline_ms = 8000\n"
         "[service loans]\nkind = plain\nplaces = p\n"
         "idempotent_methods = GET\ndeadline_ms = 3000\n"
         "[customer c]\nkey_hash = " +
         HashCustomerKey("key") + "\nrequests_per_second = 1000\n";
}

Deployment::Deployment()
    : m_cluster_port(FreePort()),
      m_platform("stand_ins/stand_in_platform", {}),
      m_engine("stand_ins/stand_in_engine", {"--token-us", "2000"}),
      m_service("stand_ins/stand_in_service", {}) {
  m_entry = std::make_unique<ChildProcess>(kEntryProgram, EntryArguments("n1"));
}

std::unique_ptr<ChildProcess> Deployment::StartPeer() {
  std::vector<std::string> arguments = EntryArguments("n2");
  arguments.push_back("--set");
  arguments.push_back("cluster.seeds=127.0.0.1:" +
                      std::to_string(m_cluster_port));
  return std::make_unique<ChildProcess>(kEntryProgram, std::move(arguments));
}

std::vector<std::string> Deployment::EntryArguments(
    const std::string& name) const {
  std::vector<std::string> settings = {
      "node.name=" + name,
      "node.place=p",
      "node.data_center=p",
      "listen.port=0",
      "platform.store_url=" + m_platform.Url(),
      "platform.vm_list_url=" + m_platform.Url(),
      "platform.vm_list_interval_ms=100",
      "limits.maximum_body_bytes=4096",
      "limits.request_timeout_s=1",
      "stop.drain_timeout_s=5",
      "stop.handover_delay_ms=100",
      "log.level=error",
      "cluster.secret_keys=" + m_keys.public_key_hex,
      "bundle.trusted_keys=ops:" + m_keys.public_key_hex};
  if (name == "n1") {
    settings.push_back("cluster.port=" + std::to_string(m_cluster_port));
  }
  std::vector<std::string> arguments;
  for (const std::string& setting : settings) {
    arguments.push_back("--set");
    arguments.push_back(setting);
  }
  return arguments;
}

void Deployment::StoreBundle(const std::string& text, bool is_trusted) {
  const SigningKeyPair keys = is_trusted ? m_keys : GenerateSigningKeyPair();
  const SignedBundle bundle =
      SignBundle({text, {}}, SigningKeyId("ops"), keys.secret_key_hex).value();
  const std::string response = Call(
      m_platform.port(), "PUT",
      "/v1/kv/bundle/current?expected=" + std::to_string(m_bundle_revision), "",
      SerializeSignedBundle(bundle));
  if (StatusOf(response) != 200) {
    std::abort();
  }
  // NOTE: Revisions are assigned by the store and increase with writes to any
  // key, so the next expected revision is taken from the response.
  const std::string member = "\"revision\":";
  m_bundle_revision = std::strtoull(
      response.c_str() + response.find(member) + member.size(), nullptr, 10);
}

void Deployment::AwaitStatus(const std::string& part) const {
  constexpr int kTries = 500;
  constexpr useconds_t kPauseMicroseconds = 20000;
  for (int i = 0; i < kTries; ++i) {
    if (Call(m_entry->port(), "GET", "/v1/status").find(part) !=
        std::string::npos) {
      return;
    }
    usleep(kPauseMicroseconds);
  }
  std::abort();
}

void Deployment::AddEndpoint(const std::string& id,
                             uint16_t port,
                             const std::string& service) const {
  Call(m_platform.port(), "POST", "/stand-in/vms", "",
       R"({"id":")" + id + R"(","address":"127.0.0.1","port":)" +
           std::to_string(port) + R"(,"place":"p","service":")" + service +
           R"(","vm_class":"v","state":"live"})");
  AwaitStatus("\"" + id + "\"");
}

}  // namespace pistachiowalk::testing
