#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The volume of the log is limited on the machine's clock. After this time
/// there is room for the lines of a small fleet, whatever ran before.
constexpr milliseconds kLogRefillTime{600};

/// Time of the last line with the event in the log; nullopt without one. The
/// first ones belong to the start of the VM.
std::optional<std::chrono::duration<double>> TimeOfEvent(
    std::string_view log,
    std::string_view event) {
  constexpr std::string_view kTimeField = "{\"time\":";
  const std::size_t name = log.rfind("\"name\":\"" + std::string(event) + "\"");
  if (name == std::string_view::npos) {
    return std::nullopt;
  }
  const std::size_t line = log.rfind(kTimeField, name);
  return std::chrono::duration<double>(
      std::stod(std::string(log.substr(line + kTimeField.size(), 20))));
}

// Guards against a log in virtual time from which no timeline can be read: all
// lines of a schedule carried the time of the machine's clock and lay within
// 12 ms.
TEST(LogTimeTest, LinesCarryTheTimeOfTheVirtualFleet) {
  std::this_thread::sleep_for(kLogRefillTime);
  testing::internal::CaptureStdout();
  virtual_fleet fleet({.vms = 1, .workers = 1});
  fleet.Advance(seconds(3));
  fleet.SetStoreRefusing(true);
  fleet.Advance(seconds(5));
  fleet.SetStoreRefusing(false);
  fleet.Advance(seconds(2));
  const std::string log = testing::internal::GetCapturedStdout();
  const auto lost = TimeOfEvent(log, "store_lost");
  const auto regained = TimeOfEvent(log, "store_regained");
  ASSERT_TRUE(lost && regained) << log;
  EXPECT_GE(*regained - *lost, seconds(3));
  EXPECT_LE(*regained - *lost, seconds(7));
}

}  // namespace
}  // namespace skylarkbridge::control
