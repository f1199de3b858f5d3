#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ini_reader.h"
#include "bundle/bundle_fault.h"
#include "bundle/priority.h"
#include "bundle/service.h"

// Parsers for the values of a bundle's text. If a value is invalid, each
// function leaves `target` unchanged and adds a fault.
namespace pistachiowalk {

using BundleFaults = std::vector<BundleFault>;

void ReadNumber(const IniEntry& entry,
                double minimum,
                double maximum,
                double& target,
                BundleFaults& faults);
void ReadCount(const IniEntry& entry,
               uint64_t minimum,
               uint64_t maximum,
               uint64_t& target,
               BundleFaults& faults);
void ReadMilliseconds(const IniEntry& entry,
                      std::chrono::milliseconds& target,
                      BundleFaults& faults);
void ReadBool(const IniEntry& entry, bool& target, BundleFaults& faults);
void ReadPriority(const IniEntry& entry,
                  Priority& target,
                  BundleFaults& faults);
void ReadServiceKind(const IniEntry& entry,
                     ServiceKind& target,
                     BundleFaults& faults);
void ReadKeyHash(const IniEntry& entry,
                 std::string& target,
                 BundleFaults& faults);

// Adds a fault located at `entry`.
void AddFault(const IniEntry& entry, std::string message, BundleFaults& faults);

}  // namespace pistachiowalk
