#include "skylarkbridge/declaration/json.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <iostream>
#include <random>
#include <sstream>

#include "skylarkbridge/declaration/canonical_size.hpp"
#include "skylarkbridge/declaration/declare.hpp"

namespace skylarkbridge::declaration {
namespace {

const team kTeam = {.name = "shop"};
const service kService = {.name = "checkout", .team = "shop"};
const batch_kind kKind = {.name = "report",
                          .team = "shop",
                          .size = {.millicores = 1, .memory_mib = 1}};

std::string Faults(std::string_view text) {
  findings found;
  EXPECT_FALSE(ParseJson(text, found).has_value());
  EXPECT_FALSE(found.Empty());
  return Format(found);
}

// Check measures the canonical form without a JSON library; if its figure
// differed, a configuration could pass and be unreadable.
TEST(JsonTest, CanonicalSizeIsExact) {
  batch_kind kind = kKind;
  kind.claim = {.minimum_permille = -5, .cap_permille = 12345};
  kind.checkpoints = true;
  for (const configuration& config :
       {configuration{}, Declare(kTeam), Declare(kTeam, kService, kind),
        Declare(kind, kTeam, kTeam, kind, kService)}) {
    EXPECT_EQ(CanonicalSize(config), PrintJson(config).size());
  }
}

// A change of the form would make every stored configuration differ.
TEST(JsonTest, PrintsTheCanonicalForm) {
  EXPECT_EQ(PrintJson(Declare(kTeam, kService)), R"({
  "teams": [
    {
      "name": "shop",
      "claim": {
        "minimum_permille": 0,
        "cap_permille": 1000
      },
      "quota": {
        "millicores": 0,
        "memory_mib": 0,
        "accelerators": 0
      }
    }
  ],
  "services": [
    {
      "name": "checkout",
      "team": "shop",
      "claim": {
        "minimum_permille": 0,
        "cap_permille": 1000
      },
      "default_deadline_ms": 1000,
      "longest_deadline_ms": 30000,
      "latency_objective_ms": 100,
      "idempotent": false,
      "spill": false,
      "queue_limit": 1000,
      "urgency": 100
    }
  ],
  "batch_kinds": []
}
)");
}

// VMs compare configurations by their bytes.
TEST(JsonTest, OrderOfItemsDoesNotChangeTheBytes) {
  const team other = {.name = "bakery"};
  EXPECT_EQ(PrintJson(Declare(kTeam, other)), PrintJson(Declare(other, kTeam)));
}

TEST(JsonTest, ReadsWhatItPrints) {
  batch_kind kind = kKind;
  kind.claim = {.minimum_permille = 1, .cap_permille = 2};
  kind.size = {.millicores = 3, .memory_mib = 4, .accelerators = 5};
  kind.run_time = std::chrono::milliseconds(6);
  kind.idempotent = false;
  kind.checkpoints = true;
  kind.rack_limit = 7;
  kind.queue_limit = 8;
  kind.urgency = 9;
  const configuration config = Declare(kTeam, kService, kind);
  findings found;
  EXPECT_EQ(ParseJson(PrintJson(config), found), config);
  EXPECT_EQ(Format(found), "");
}

// A misspelt key must not be ignored in silence, and one fault must not hide
// another.
TEST(JsonTest, ReportsAllFindingsWithTheirPlace) {
  EXPECT_EQ(Faults(R"({"teams": [{"name": "shop", "name": "shop"}],
    "services": [{"name": "a", "team": "shop", "claim": {"minimum": 1,
      "cap_permille": "700"}, "idempotent": 1, "urgency": 1.5,
      "queue_limit": 18446744073709551615}, 7, {"team": "none"}],
    "kinds": []})"),
            "teams[0].name: appears twice\n"
            "services[0].claim.cap_permille: expected an integer, found "
            "string\n"
            "services[0].claim.minimum: unknown key\n"
            "services[0].idempotent: expected true or false, found number\n"
            "services[0].queue_limit: 18446744073709551615 is too large\n"
            "services[0].urgency: expected an integer, found number\n"
            "services[1]: expected an object, found number\n"
            "services[2].name: is missing\n"
            "kinds: unknown key\n"
            "services[2].team: team \"none\" is not declared\n");
}

TEST(JsonTest, ReportsTheLineOfASyntaxFault) {
  EXPECT_EQ(Faults("{\n  \"teams\": [}\n").substr(0, 34),
            "line 2, column 13: not valid JSON:");
}

// Deep or large input must not use up stack or memory.
TEST(JsonTest, BoundsDepthAndSize) {
  EXPECT_EQ(Faults(std::string(500'000, '[')),
            "[0][0][0][0][0][0][0][0]: nested deeper than 8\n");
  EXPECT_EQ(Faults(std::string(kMaxJsonBytes + 1, ' ')),
            "input: 1048577 bytes are more than 1048576\n");
}

// A file of another kind must not produce an endless report.
TEST(JsonTest, BoundsTheNumberOfFindings) {
  std::string text = "{";
  for (int i = 0; i < 3000; ++i) {
    text += "\"k" + std::to_string(i) + "\": 0,";
  }
  text.back() = '}';
  const std::string faults = Faults(text);
  EXPECT_EQ(std::count(faults.begin(), faults.end(), '\n'), 1001);
  EXPECT_NE(faults.find("input: 2000 more findings are not shown\n"),
            std::string::npos);
}

// Damaged input must give findings or a sound configuration, never a crash or
// a configuration that prints differently after it was read again.
TEST(JsonTest, SurvivesDamagedInput) {
  constexpr unsigned kSeed = 20261204;
  constexpr int kInputs = 20'000;
  std::mt19937 random(kSeed);
  const std::string sound = PrintJson(Declare(kTeam, kService, kKind));
  const std::string_view symbols = "{}[]\",:0-9eE.\\u\x80\xff tfn";
  int accepted = 0;
  for (int i = 0; i < kInputs; ++i) {
    std::string text = sound;
    for (unsigned edits = 1 + random() % 4; edits > 0; --edits) {
      const std::size_t at = random() % text.size();
      switch (random() % 3) {
        case 0:
          text[at] = symbols[random() % symbols.size()];
          break;
        case 1:
          text.erase(at, 1 + random() % 20);
          break;
        default: {
          const std::size_t length = random() % 40;
          const std::size_t from = random() % text.size();
          text.insert(at, text.substr(from, length));
        }
      }
    }
    findings found;
    const auto config = ParseJson(text, found);
    ASSERT_EQ(config.has_value(), found.Empty()) << text;
    if (config) {
      ++accepted;
      ASSERT_EQ(ParseJson(PrintJson(*config), found), Canonical(*config));
    }
  }
  std::cout << "seed " << kSeed << ", " << kInputs << " inputs, " << accepted
            << " accepted\n";
  EXPECT_GT(accepted, 0);
}

TEST(DeclareTest, PrintsNothingOfAFaultyConfiguration) {
  std::ostringstream out;
  std::ostringstream errors;
  EXPECT_EQ(PrintOrReport(Declare(kService), out, errors), 1);
  EXPECT_EQ(out.str(), "");
  EXPECT_EQ(errors.str(), "services[0].team: team \"shop\" is not declared\n");
}

}  // namespace
}  // namespace skylarkbridge::declaration
