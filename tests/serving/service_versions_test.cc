#include "serving/service_versions.h"

#include "support/criterion.h"

using namespace pistachiowalk;

namespace {

constexpr int64_t kNow = 1700000000000;
const ServiceName kChat("chat");

ServiceVersions::ListedVersions Listed(
    const std::vector<std::string>& versions) {
  ServiceVersions::ListedVersions listed;
  for (const std::string& version : versions) {
    listed.emplace(kChat, SoftwareVersion(version));
  }
  return listed;
}

// As of a node that has just started.
ServiceVersions StartedWith(const ServedVersionsRecord& record) {
  ServiceVersions versions;
  versions.ExtendLifetime(std::chrono::seconds(45));
  versions.Merge(record);
  return versions;
}

}  // namespace

Test(service_versions, one_listed_version_counts_as_the_only_one) {
  ServiceVersions versions;
  versions.Update(Listed({"v2"}), kNow);
  // Without the record, another one may just have left.
  cr_assert(!versions.OnlyVersion(kChat, kNow));
  versions.Merge(ServedVersionsRecord{});
  cr_assert(versions.OnlyVersion(kChat, kNow) == SoftwareVersion("v2"));
}

Test(service_versions, a_version_that_left_before_a_restart_is_forgotten) {
  ServiceVersions before;
  before.Update(Listed({"v1"}), kNow);
  before.Update(Listed({"v1", "v2"}), kNow + 100);
  ServiceVersions after = StartedWith(before.Record(kNow + 200));
  after.Update(Listed({"v2"}), kNow + 3000);
  cr_assert(!after.OnlyVersion(kChat, kNow + 3000));
  cr_assert(!after.OnlyVersion(kChat, kNow + 47999));
  cr_assert(after.OnlyVersion(kChat, kNow + 48000) == SoftwareVersion("v2"));
}

Test(service_versions, the_time_since_a_version_left_begins_anew) {
  ServiceVersions before;
  before.ExtendLifetime(std::chrono::seconds(45));
  before.Update(Listed({"v1"}), kNow);
  before.Update(Listed({"v2"}), kNow + 1000);
  ServiceVersions after = StartedWith(before.Record(kNow + 30000));
  after.Update(Listed({"v2"}), kNow + 30000);
  cr_assert(!after.OnlyVersion(kChat, kNow + 45999));
  cr_assert(after.OnlyVersion(kChat, kNow + 46000) == SoftwareVersion("v2"));
}

Test(service_versions, a_version_that_comes_back_counts_as_gone) {
  ServiceVersions versions = StartedWith(ServedVersionsRecord{});
  versions.Update(Listed({"v1", "v2"}), kNow);
  versions.Update(Listed({"v1"}), kNow + 1000);
  versions.Update(Listed({"v1", "v2"}), kNow + 20000);
  cr_assert(!versions.OnlyVersion(kChat, kNow + 60000));
}

Test(service_versions, another_services_versions_count) {
  ServiceVersions versions = StartedWith(ServedVersionsRecord{});
  ServiceVersions::ListedVersions listed = Listed({"v1"});
  listed.emplace(ServiceName("other"), SoftwareVersion("v2"));
  versions.Update(listed, kNow);
  cr_assert(versions.OnlyVersion(kChat, kNow) == SoftwareVersion("v1"));
  cr_assert(!versions.OnlyVersion(ServiceName("third"), kNow));
}

Test(service_versions, a_change_is_not_recorded) {
  ServiceVersions versions;
  uint64_t revision = versions.revision();
  for (const auto& listed :
       {Listed({"v1"}), Listed({"v1", "v2"}), Listed({"v2"}), Listed({"v1"})}) {
    versions.Update(listed, kNow);
    cr_assert(versions.revision() > revision);
    revision = versions.revision();
    versions.Update(listed, kNow + 10);
    cr_assert(versions.revision() == revision);
  }
}
