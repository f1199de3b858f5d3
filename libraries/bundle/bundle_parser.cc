#include "bundle/bundle_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <map>
#include <set>

#include "base/ini_reader.h"
#include "bundle/bundle_fields.h"

namespace pistachiowalk {
namespace {

constexpr uint64_t kSchema = 1;
constexpr double kMaximumRate = 1e9;
constexpr double kMaximumWeight = 1e6;
constexpr uint64_t kMaximumAccelerators = 1024;
constexpr uint64_t kMaximumSlots = 65536;

// Builds a bundle from its INI entries and collects the faults.
class Reader {
 public:
  void Read(const IniText& text);
  void Validate();
  BundleParseOutcome Finish() &&;

 private:
  void ReadEntry(const IniEntry& entry);
  void ReadBundleEntry(const IniEntry& entry);
  void ReadPlaceEntry(const IniEntry& entry, Place& place);
  void ReadVmClassEntry(const IniEntry& entry, VmClass& vm_class);
  void ReadServiceEntry(const IniEntry& entry, Service& service);
  void ReadCustomerEntry(const IniEntry& entry, Customer& customer);
  void CheckServices();
  void CheckCustomers();
  void AddMissingFault(std::string where, std::string message);
  void AddUnknownName(const IniEntry& entry, std::string_view known);

  Bundle m_bundle;
  uint64_t m_schema = 0;
  BundleFaults m_faults;
  std::map<std::string, int> m_first_lines;
};

// Returns the item of `items` with this name, adding it if there is none.
template <class Item, class Name>
Item& FindOrAdd(std::vector<Item>& items, const Name& name) {
  for (Item& item : items) {
    if (item.name == name) {
      return item;
    }
  }
  items.emplace_back();
  items.back().name = name;
  return items.back();
}

void Reader::AddMissingFault(std::string where, std::string message) {
  m_faults.push_back(BundleFault{
      .where = std::move(where), .message = std::move(message), .line = 0});
}

void Reader::AddUnknownName(const IniEntry& entry, std::string_view known) {
  AddFault(entry, fmt::format("is not a known name; use one of: {}", known),
           m_faults);
}

void Reader::Read(const IniText& text) {
  for (const int line : text.malformed_lines) {
    m_faults.push_back(BundleFault{
        .where = "text",
        .message = "is not a [section], a `name = value` or a comment",
        .line = line});
  }
  for (const IniEntry& entry : text.entries) {
    const std::string path = entry.section + "\n" + entry.name;
    const auto [it, is_first] = m_first_lines.emplace(path, entry.line);
    if (!is_first) {
      AddFault(
          entry,
          fmt::format("stands twice; it was first set on line {}", it->second),
          m_faults);
      continue;
    }
    ReadEntry(entry);
  }
}

void Reader::ReadEntry(const IniEntry& entry) {
  if (entry.section == "bundle") {
    ReadBundleEntry(entry);
    return;
  }
  const size_t blank = entry.section.find(' ');
  const std::string kind = entry.section.substr(0, blank);
  const std::string name =
      blank == std::string::npos ? "" : entry.section.substr(blank + 1);
  const bool is_valid_name =
      !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
      });
  if (!is_valid_name) {
    AddFault(entry,
             "the section must be [bundle] or [kind name] with a name of "
             "lower-case letters, digits and hyphens",
             m_faults);
    return;
  }
  if (kind == "place") {
    ReadPlaceEntry(entry, FindOrAdd(m_bundle.places, PlaceName(name)));
  } else if (kind == "vm_class") {
    ReadVmClassEntry(entry, FindOrAdd(m_bundle.vm_classes, VmClassName(name)));
  } else if (kind == "service") {
    ReadServiceEntry(entry, FindOrAdd(m_bundle.services, ServiceName(name)));
  } else if (kind == "customer") {
    ReadCustomerEntry(entry, FindOrAdd(m_bundle.customers, CustomerName(name)));
  } else {
    AddFault(entry,
             fmt::format("\"{}\" is not a kind of section; use place, "
                         "vm_class, service or customer",
                         kind),
             m_faults);
  }
}

void Reader::ReadBundleEntry(const IniEntry& entry) {
  if (entry.name == "name") {
    m_bundle.name = entry.value;
  } else if (entry.name == "schema") {
    ReadCount(entry, kSchema, kSchema, m_schema, m_faults);
  } else if (entry.name == "version") {
    ReadCount(entry, 1, std::numeric_limits<int64_t>::max(), m_bundle.version,
              m_faults);
  } else {
    AddUnknownName(entry, "name, schema, version");
  }
}

void Reader::ReadPlaceEntry(const IniEntry& entry, Place& place) {
  if (entry.name == "data_center") {
    place.data_center = DataCenterName(entry.value);
  } else if (entry.name == "region") {
    place.region = RegionName(entry.value);
  } else if (entry.name == "price_factor") {
    ReadNumber(entry, 0, kMaximumWeight, place.price_factor, m_faults);
  } else {
    AddUnknownName(entry, "data_center, region, price_factor");
  }
}

void Reader::ReadVmClassEntry(const IniEntry& entry, VmClass& vm_class) {
  if (entry.name == "reclaimable") {
    ReadBool(entry, vm_class.is_reclaimable, m_faults);
  } else if (entry.name == "price_per_hour") {
    ReadNumber(entry, 0, kMaximumRate, vm_class.price_per_hour, m_faults);
  } else if (entry.name == "accelerators") {
    uint64_t count = 0;
    ReadCount(entry, 0, kMaximumAccelerators, count, m_faults);
    vm_class.accelerators = static_cast<uint32_t>(count);
  } else if (entry.name == "slots") {
    uint64_t count = 1;
    ReadCount(entry, 1, kMaximumSlots, count, m_faults);
    vm_class.slots = static_cast<uint32_t>(count);
  } else {
    AddUnknownName(entry, "reclaimable, price_per_hour, accelerators, slots");
  }
}

void Reader::ReadServiceEntry(const IniEntry& entry, Service& service) {
  if (entry.name == "kind") {
    ReadServiceKind(entry, service.kind, m_faults);
  } else if (entry.name == "model") {
    service.model = entry.value;
  } else if (entry.name == "adapter") {
    service.adapter = entry.value;
  } else if (entry.name == "version") {
    service.version = entry.value;
  } else if (entry.name == "places") {
    for (const std::string& place : SplitList(entry.value)) {
      service.places.emplace_back(place);
    }
  } else if (entry.name == "priority") {
    ReadPriority(entry, service.priority, m_faults);
  } else if (entry.name == "protected") {
    ReadBool(entry, service.is_protected, m_faults);
  } else if (entry.name == "idempotent_methods") {
    service.idempotent_methods = SplitList(entry.value);
  } else if (entry.name == "first_token_target_ms") {
    ReadMilliseconds(entry, service.first_token_target, m_faults);
  } else if (entry.name == "token_gap_target_ms") {
    ReadMilliseconds(entry, service.token_gap_target, m_faults);
  } else if (entry.name == "deadline_ms") {
    ReadMilliseconds(entry, service.deadline, m_faults);
  } else if (entry.name == "cost_weight") {
    ReadNumber(entry, 0, kMaximumWeight, service.cost_weight, m_faults);
  } else if (entry.name == "recompute_weight") {
    ReadNumber(entry, 0, kMaximumWeight, service.recompute_weight, m_faults);
  } else if (entry.name == "checks_fencing") {
    ReadBool(entry, service.checks_fencing, m_faults);
  } else {
    AddUnknownName(entry,
                   "kind, model, adapter, version, places, priority, "
                   "protected, idempotent_methods, first_token_target_ms, "
                   "token_gap_target_ms, deadline_ms, cost_weight, "
                   "recompute_weight, checks_fencing");
  }
}

void Reader::ReadCustomerEntry(const IniEntry& entry, Customer& customer) {
  if (entry.name == "key_hash") {
    ReadKeyHash(entry, customer.key_hash, m_faults);
  } else if (entry.name == "requests_per_second") {
    ReadNumber(entry, 0, kMaximumRate, customer.requests_per_second, m_faults);
  } else if (entry.name == "tokens_per_second") {
    ReadNumber(entry, 0, kMaximumRate, customer.tokens_per_second, m_faults);
  } else if (entry.name == "weight") {
    ReadNumber(entry, 0.001, kMaximumWeight, customer.weight, m_faults);
  } else {
    AddUnknownName(entry,
                   "key_hash, requests_per_second, tokens_per_second, weight");
  }
}

void Reader::CheckServices() {
  for (const Service& service : m_bundle.services) {
    const std::string section = "service " + service.name.value();
    if (service.kind == ServiceKind::kModel && service.model.empty()) {
      AddMissingFault(fmt::format("[{}].model", section),
                      "a model service needs a model");
    }
    if (service.places.empty()) {
      AddMissingFault(fmt::format("[{}].places", section),
                      "a service needs at least one place");
    }
    for (const PlaceName& place : service.places) {
      if (FindPlace(m_bundle, place) == nullptr) {
        m_faults.push_back(BundleFault{
            .where = fmt::format("[{}].places", section),
            .message = fmt::format("\"{}\" is not a place of this bundle; add "
                                   "[place {}] or remove it here",
                                   place.value(), place.value()),
            .line = m_first_lines[section + "\nplaces"]});
      }
    }
  }
}

void Reader::CheckCustomers() {
  std::map<std::string, std::string> owners;
  for (const Customer& customer : m_bundle.customers) {
    const std::string section = "customer " + customer.name.value();
    if (customer.key_hash.empty()) {
      AddMissingFault(fmt::format("[{}].key_hash", section),
                      "a customer needs a key_hash; make it with `pistachioctl "
                      "customer hash-key`");
      continue;
    }
    const auto [it, is_new] =
        owners.emplace(customer.key_hash, customer.name.value());
    if (!is_new) {
      m_faults.push_back(BundleFault{
          .where = fmt::format("[{}].key_hash", section),
          .message = fmt::format("is also the key of customer {}", it->second),
          .line = m_first_lines[section + "\nkey_hash"]});
    }
  }
}

void Reader::Validate() {
  if (m_bundle.name.empty()) {
    AddMissingFault("[bundle].name", "a bundle needs a name");
  }
  if (m_schema == 0 && !m_first_lines.contains("bundle\nschema")) {
    AddMissingFault("[bundle].schema", "a bundle needs `schema = 1`");
  }
  if (m_bundle.version == 0 && !m_first_lines.contains("bundle\nversion")) {
    AddMissingFault("[bundle].version",
                    "a bundle needs a version of 1 or more");
  }
  if (m_bundle.services.empty()) {
    AddMissingFault("[service ...]", "a bundle needs at least one service");
  }
  for (const Place& place : m_bundle.places) {
    if (place.data_center.IsEmpty() || place.region.IsEmpty()) {
      AddMissingFault(fmt::format("[place {}]", place.name.value()),
                      "a place needs a data_center and a region");
    }
  }
  CheckServices();
  CheckCustomers();
}

BundleParseOutcome Reader::Finish() && {
  BundleParseOutcome outcome;
  std::sort(m_faults.begin(), m_faults.end(),
            [](const BundleFault& a, const BundleFault& b) {
              return a.line < b.line;
            });
  if (m_faults.empty()) {
    outcome.bundle = std::move(m_bundle);
  }
  outcome.faults = std::move(m_faults);
  return outcome;
}

}  // namespace

std::string FormatBundleFault(const BundleFault& fault) {
  if (fault.line == 0) {
    return fmt::format("{}: {}", fault.where, fault.message);
  }
  return fmt::format("{}: {} (line {})", fault.where, fault.message,
                     fault.line);
}

BundleParseOutcome ParseBundle(std::string_view text) {
  Reader reader;
  reader.Read(ReadIni(text));
  reader.Validate();
  return std::move(reader).Finish();
}

}  // namespace pistachiowalk
