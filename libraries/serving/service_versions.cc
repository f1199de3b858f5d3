#include "serving/service_versions.h"

#include <algorithm>

namespace pistachiowalk {

bool ServiceVersions::MayLast(int64_t left_at_ms, int64_t now_ms) const {
  return left_at_ms == 0 || now_ms - left_at_ms < m_lifetime.count();
}

void ServiceVersions::Update(const ListedVersions& listed, int64_t now_ms) {
  for (const auto& version : listed) {
    const auto [known, is_new] = m_left_at_ms.try_emplace(version, 0);
    if (is_new || known->second != 0) {
      known->second = 0;
      ++m_revision;
    }
  }
  for (auto& [version, left_at_ms] : m_left_at_ms) {
    if (left_at_ms == 0 && !listed.contains(version)) {
      left_at_ms = now_ms;
      ++m_revision;
    }
  }
  std::erase_if(m_left_at_ms, [&](const auto& known) {
    return !MayLast(known.second, now_ms);
  });
}

void ServiceVersions::Merge(const ServedVersionsRecord& recorded) {
  m_has_record = true;
  for (const ServedVersion& version : recorded.versions) {
    const std::pair key(version.service, version.version);
    const auto [known, is_new] =
        m_left_at_ms.try_emplace(key, version.left_at_ms);
    if (is_new) {
      continue;
    }
    // NOTE: Keeps the later time; a version that is listed has not left.
    if (known->second != 0 &&
        (version.left_at_ms == 0 || version.left_at_ms > known->second)) {
      known->second = version.left_at_ms;
    }
  }
}

std::optional<SoftwareVersion> ServiceVersions::OnlyVersion(
    const ServiceName& service,
    int64_t now_ms) const {
  if (!m_has_record) {
    return std::nullopt;
  }
  std::optional<SoftwareVersion> only;
  for (const auto& [key, left_at_ms] : m_left_at_ms) {
    if (key.first != service || !MayLast(left_at_ms, now_ms)) {
      continue;
    }
    if (only) {
      return std::nullopt;
    }
    only = key.second;
  }
  return only;
}

ServedVersionsRecord ServiceVersions::Record(int64_t now_ms) const {
  ServedVersionsRecord record;
  for (const auto& [key, left_at_ms] : m_left_at_ms) {
    if (MayLast(left_at_ms, now_ms) &&
        record.versions.size() < kMaximumServedVersions) {
      record.versions.push_back(ServedVersion{.service = key.first,
                                              .version = key.second,
                                              .left_at_ms = left_at_ms});
    }
  }
  return record;
}

}  // namespace pistachiowalk
