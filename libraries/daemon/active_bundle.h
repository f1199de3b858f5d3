#pragma once

#include <memory>
#include <utility>

#include "bundle/bundle.h"
#include "bundle/signed_bundle.h"

namespace pistachiowalk {

// The bundle in force on this node. Each request keeps the pointer to the
// bundle under which it was accepted, so it never sees two versions.
class ActiveBundle {
 public:
  // nullptr until the first bundle is in force.
  const std::shared_ptr<const Bundle>& current() const { return m_current; }
  // nullptr until the first bundle is in force.
  const std::shared_ptr<const SignedBundle>& signed_bundle() const {
    return m_signed_bundle;
  }
  BundleVersion version() const { return m_current ? m_current->version : 0; }

  // Puts a verified bundle in force if its version is higher than the current
  // one. Otherwise keeps the current bundle and returns false.
  bool Replace(std::shared_ptr<const Bundle> bundle,
               std::shared_ptr<const SignedBundle> signed_bundle) {
    if (bundle->version <= version()) {
      return false;
    }
    m_current = std::move(bundle);
    m_signed_bundle = std::move(signed_bundle);
    return true;
  }

 private:
  std::shared_ptr<const Bundle> m_current;
  std::shared_ptr<const SignedBundle> m_signed_bundle;
};

}  // namespace pistachiowalk
