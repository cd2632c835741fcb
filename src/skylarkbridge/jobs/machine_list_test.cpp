#include "skylarkbridge/jobs/machine_list.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::seconds;

constexpr time_point kFirst{seconds(1000)};
constexpr time_point kSecond{seconds(1001)};

// Guards against a machine that counts as gone because another one left while
// the pages of the list were read.
TEST(MachineListTest, AListOfOtherMachinesConfirmsNothing) {
  const machine_list earlier{kFirst, {{"m1", "w1"}, {"m2", "w2"}}};
  EXPECT_TRUE(Confirms({kSecond, {{"m1", "w1"}, {"m2", "w2"}}}, earlier));
  EXPECT_TRUE(Confirms({kSecond, {{"m1", "w1"}, {"m2", "w3"}}}, earlier));
  EXPECT_FALSE(Confirms({kSecond, {{"m1", "w1"}}}, earlier));
  EXPECT_FALSE(Confirms({kSecond, {{"m1", "w1"}, {"m3", "w2"}}}, earlier));
  EXPECT_FALSE(
      Confirms({kSecond, {{"m1", "w1"}, {"m2", "w2"}, {"m3", ""}}}, earlier));
}

// Guards against a reading that counts as its own confirmation, and against a
// platform that answers with an empty list.
TEST(MachineListTest, OneListOrAnEmptyOneConfirmsNothing) {
  const machine_list list{kFirst, {{"m1", "w1"}}};
  EXPECT_FALSE(Confirms(list, list));
  EXPECT_FALSE(Confirms({kSecond, {}}, {kFirst, {}}));
}

TEST(MachineListTest, NamesTheWorkersOfMachines) {
  const machine_list list{kFirst, {{"m1", "w1"}, {"m2", ""}}};
  EXPECT_TRUE(Names(list, "w1"));
  EXPECT_FALSE(Names(list, "m1"));
}

}  // namespace
}  // namespace skylarkbridge::jobs
