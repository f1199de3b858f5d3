#pragma once

#include <memory>
#include <string>

#include "bundle/signed_bundle.h"
#include "support/child_process.h"

namespace pistachiowalk::testing {

// Runs one entry process with stand-ins for the platform, an engine and a plain
// service. The key of the customer in DeploymentBundle is "key".
class Deployment {
 public:
  Deployment();

  uint16_t entry_port() const { return m_entry->port(); }
  ChildProcess& entry() { return *m_entry; }
  ChildProcess& platform() { return m_platform; }
  ChildProcess& engine() { return m_engine; }
  ChildProcess& service() { return m_service; }
  // Starts a second entry process, "n2", in the same data centre.
  std::unique_ptr<ChildProcess> StartPeer();
  // Writes a bundle to the store, signed by a key that the entry process does
  // or does not trust.
  void StoreBundle(const std::string& text, bool is_trusted);
  // Waits until the status document contains `part`; aborts after 10 s.
  void AwaitStatus(const std::string& part) const;
  void AddEndpoint(const std::string& id,
                   uint16_t port,
                   const std::string& service) const;

 private:
  SigningKeyPair m_keys = GenerateSigningKeyPair();
  uint16_t m_cluster_port;
  ChildProcess m_platform;
  ChildProcess m_engine;
  ChildProcess m_service;
  std::unique_ptr<ChildProcess> m_entry;
  std::vector<std::string> EntryArguments(const std::string& name) const;

  uint64_t m_bundle_revision = 0;
};

// Returns the text of the deployment's bundle with `version`.
std::string DeploymentBundle(int version);

}  // namespace pistachiowalk::testing
