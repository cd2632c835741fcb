#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "skylarkbridge/cli/event_lists.hpp"

namespace skylarkbridge::cli {
namespace {

/// Severity, name and fields.
using event_row = std::tuple<std::string, std::string, std::string>;

std::string SeverityName(event_severity severity) {
  switch (severity) {
    case event_severity::kInfo:
      return "info";
    case event_severity::kWarning:
      return "warning";
    case event_severity::kError:
      return "error";
  }
  return "";
}

std::multimap<int, event_row> EventsInCode() {
  std::multimap<int, event_row> rows;
  for (const event_list& list : kEventLists) {
    for (const event_definition& event : list.events) {
      rows.emplace(event.number, event_row(SeverityName(event.severity),
                                           event.name, event.fields));
    }
  }
  return rows;
}

/// Rows of the catalogue whose first cell is one number.
std::multimap<int, event_row> EventsInCatalogue() {
  std::multimap<int, event_row> rows;
  std::ifstream file("docs/events.md");
  for (std::string line; std::getline(file, line);) {
    std::vector<std::string> cells = absl::StrSplit(line, '|');
    for (std::string& cell : cells) {
      absl::StripAsciiWhitespace(&cell);
    }
    int number = 0;
    if (cells.size() != 7 || !absl::SimpleAtoi(cells[1], &number)) {
      continue;
    }
    EXPECT_FALSE(cells[5].empty()) << number << " tells no action";
    rows.emplace(number, event_row(cells[2], cells[3], cells[4]));
  }
  return rows;
}

// An operator looks a number up; it must stand for one event.
TEST(EventsTest, NumbersAndNamesAreUnique) {
  std::set<int> numbers;
  std::set<std::string> names;
  for (const auto& [number, row] : EventsInCode()) {
    EXPECT_TRUE(numbers.insert(number).second) << number;
    EXPECT_TRUE(names.insert(std::get<1>(row)).second) << std::get<1>(row);
  }
}

// An event must not be logged without a row that tells what to do.
TEST(EventsTest, CatalogueMatchesTheCode) {
  EXPECT_EQ(EventsInCatalogue(), EventsInCode());
}

// A module's list must not be missing from the comparison.
TEST(EventsTest, AllListsAreCompared) {
  namespace fs = std::filesystem;
  std::set<std::string> on_disk;
  for (const auto& entry : fs::directory_iterator("include/skylarkbridge")) {
    if (fs::exists(entry.path() / "events.hpp")) {
      on_disk.insert(entry.path().filename());
    }
  }
  std::set<std::string> compared;
  std::transform(
      std::begin(kEventLists), std::end(kEventLists),
      std::inserter(compared, compared.end()),
      [](const event_list& list) { return std::string(list.module); });
  EXPECT_EQ(on_disk, compared);
}

}  // namespace
}  // namespace skylarkbridge::cli
