// Tests of JSON from other programs that is nested deeply, or whose numbers the
// JSON library would convert to others.

#include <gtest/gtest.h>

#include <string>

#include "skylarkbridge/wire/log_protocol.hpp"
#include "skylarkbridge/wire/vm_list.hpp"
#include "skylarkbridge/wire/worker_protocol.hpp"

namespace skylarkbridge::wire {
namespace {

std::string Deep() {
  constexpr std::size_t kDepth = 200'000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

/// A fence command with this round and member.
std::string Fence(const std::string& round, const std::string& extra = "") {
  return R"({"worker":1,"fence":{"round":)" + round +
         R"(,"vm":2,"incarnation":3})" + extra + "}";
}

bool AcceptsCommand(const std::string& name, const std::string& text) {
  findings found;
  return DecodeCommand(name, text, found).has_value();
}

// Guards against the time and memory of deep documents, also in a member that
// is not read.
TEST(JsonBoundsTest, RejectsDeepDocuments) {
  EXPECT_TRUE(AcceptsCommand("fence", Fence("1")));
  EXPECT_FALSE(AcceptsCommand("fence", Fence("1", ",\"unused\":" + Deep())));
  findings found;
  EXPECT_FALSE(ParseVmList(
      R"({"workers":[],"entry_vms":[],"unused":)" + Deep() + "}", found));
  EXPECT_FALSE(
      DecodeAppend(R"({"records":[],"unused":)" + Deep() + "}", found));
  EXPECT_FALSE(DecodeRecord(Deep(), found));
}

// Guards against numbers that wrap in a smaller type.
TEST(JsonBoundsTest, RejectsNumbersOutOfTheirType) {
  const auto stop = [](const std::string& attempt, const std::string& up_for) {
    return R"({"worker":1,"lease":{"round":1,"vm":2,"incarnation":3},)"
           R"("up_for_ns":)" +
           up_for + R"(,"task":4,"attempt":)" + attempt + "}";
  };
  EXPECT_TRUE(AcceptsCommand("stop", stop("5", "1000")));
  for (const char* const number :
       {"4294967296", "18446744073709551615", "-1", "1e30", "0.5", "true"}) {
    EXPECT_FALSE(AcceptsCommand("stop", stop(number, "1000"))) << number;
  }
  for (const char* const number :
       {"18446744073709551615", "9223372036854775807", "-1", "1e30", "true"}) {
    EXPECT_FALSE(AcceptsCommand("stop", stop("5", number))) << number;
  }
}

// As above, for the list of VMs.
TEST(JsonBoundsTest, RejectsVmsWithNumbersOutOfTheirType) {
  const auto accepts = [](const std::string& millicores) {
    findings found;
    return ParseVmList(
               R"({"entry_vms":[],"workers":[{"id":1,"address":"10.0.0.1:1",)"
               R"("data_centre":1,"rack":1,"status":"live","slots":1,)"
               R"("connections":1,"memory_mib":1,"accelerators":0,)"
               R"("millicores":)" +
                   millicores + "}]}",
               found)
        .has_value();
  };
  EXPECT_TRUE(accepts("4000"));
  for (const char* const number :
       {"18446744073709551615", "9223372036854775807", "-1", "1e30", "true"}) {
    EXPECT_FALSE(accepts(number)) << number;
  }
}

// Guards against a text that ends the process because it is not UTF-8: kinds
// come from peers, whose frames may hold any bytes.
TEST(JsonBoundsTest, EncodesTextsThatAreNotUtf8) {
  EXPECT_NO_THROW(EncodeCommand(start_on_worker{.kind = "\xFF"}));
}

}  // namespace
}  // namespace skylarkbridge::wire
