#include "bundle/bundle_parser.h"

#include <fstream>
#include <sstream>

#include "bundle/reversion.h"
#include "bundle/sample_bundle.h"
#include "support/criterion.h"

using namespace pistachiowalk;
using pistachiowalk::testing::SampleBundle;

namespace {

std::string ReadSample(const std::string& name) {
  std::ifstream file(std::string(PISTACHIOWALK_SOURCE_DIR "/samples/") + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Lines appended to the sample, and a part of the message they must cause.
struct FaultCase {
  std::string lines;
  std::string expected_part;
};

}  // namespace

Test(bundle_parser, parses_the_samples) {
  for (const char* name : {"rebozo.ini", "vltavice.ini"}) {
    const BundleParseOutcome outcome = ParseBundle(ReadSample(name));
    cr_assert(outcome.bundle.has_value(), "%s", name);
    cr_assert(outcome.bundle->places.size() == 3);
    cr_assert(outcome.bundle->services.size() == 2);
  }
}

Test(bundle_parser, reports_location_and_remedy_of_every_fault) {
  const FaultCase cases[] = {
      {"priority = urgent", "\"urgent\" is not a priority; use critical"},
      {"deadline_ms = -3", "[service chat].deadline_ms: \"-3\" is not a whole"},
      {"deadline_ms = 10x", "\"10x\" is not a whole number"},
      {"cost_weight = nan", "\"nan\" is not a number"},
      {"colour = red", "is not a known name; use one of: kind, model"},
      {"kind = plain", "stands twice; it was first set on line 9"},
      {"protected = yes", "\"yes\" is not true or false"},
      {"[service second]\nkind = plain\nplaces = nowhere",
       "\"nowhere\" is not a place of this bundle; add [place nowhere]"},
      {"[service second]\nkind = model\nplaces = a",
       "[service second].model: a model service needs a model"},
      {"[customer c]\nrequests_per_second = 1", "a customer needs a key_hash"},
      {"[customer c]\nkey_hash = abc", "is not 64 lower-case hexadecimal"},
      {"[gadget g]\nx = 1", "\"gadget\" is not a kind of section"},
      {"[place Bad!]\nregion = r", "the section must be [bundle] or [kind"},
      {"no equals sign", "is not a [section]"},
  };
  for (const FaultCase& item : cases) {
    const BundleParseOutcome outcome =
        ParseBundle(SampleBundle(1) + item.lines + "\n");
    cr_assert(!outcome.bundle.has_value(), "%s", item.lines.c_str());
    bool is_reported = false;
    for (const BundleFault& fault : outcome.faults) {
      is_reported = is_reported || FormatBundleFault(fault).find(
                                       item.expected_part) != std::string::npos;
    }
    cr_assert(is_reported, "%s: %s", item.lines.c_str(),
              FormatBundleFault(outcome.faults.front()).c_str());
  }
}

Test(bundle_parser, rejects_another_schema_and_a_missing_version) {
  const auto other = ParseBundle("[bundle]\nname = x\nschema = 2\n");
  cr_assert(!other.bundle.has_value());
  cr_assert(other.faults.size() >= 3);
}

Test(reversion, changes_the_version_and_nothing_else) {
  const std::string text = SampleBundle(3) + "; version = 3 stays here\n";
  const auto raised = ReplaceBundleVersion(text, 12);
  cr_assert(raised.has_value());
  const auto bundle = ParseBundle(*raised).bundle;
  cr_assert(bundle->version == 12);
  Bundle expected = *ParseBundle(text).bundle;
  expected.version = 12;
  cr_assert(*bundle == expected);
  cr_assert(raised->ends_with("; version = 3 stays here\n"));
  cr_assert(not(ReplaceBundleVersion("[bundle]\nname = x\n", 2).has_value()));
}
