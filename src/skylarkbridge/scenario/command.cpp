#include "skylarkbridge/scenario/command.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/time/time.h"
#include "skylarkbridge/base/string_view.hpp"

namespace skylarkbridge::scenario {

command::command(std::string_view line)
    : words_(absl::StrSplit(ToAbsl(line), ' ', absl::SkipEmpty())) {}

bool command::Take(std::initializer_list<std::string_view> words) {
  if (words.size() > words_.size() ||
      !std::equal(words.begin(), words.end(), words_.begin())) {
    return false;
  }
  words_.erase(words_.begin(),
               words_.begin() + static_cast<std::ptrdiff_t>(words.size()));
  return true;
}

std::string command::Word(std::string_view meaning) {
  if (words_.empty()) {
    Fail(absl::StrCat(ToAbsl(meaning), " is missing"));
    return {};
  }
  std::string word = std::move(words_.front());
  words_.erase(words_.begin());
  return word;
}

std::int64_t command::Number(std::string_view meaning) {
  return ToNumber(Word(meaning));
}

std::chrono::milliseconds command::Duration(std::string_view meaning) {
  return ToDuration(Word(meaning));
}

std::int64_t command::Number(std::string_view name, std::int64_t otherwise) {
  const auto word = Named(name);
  return word ? ToNumber(*word) : otherwise;
}

std::chrono::milliseconds command::Duration(
    std::string_view name,
    std::chrono::milliseconds otherwise) {
  const auto word = Named(name);
  return word ? ToDuration(*word) : otherwise;
}

std::string command::Word(std::string_view name, std::string_view otherwise) {
  const auto word = Named(name);
  return word ? *word : std::string(otherwise);
}

bool command::Flag(std::string_view name) {
  const auto found = std::find(words_.begin(), words_.end(), name);
  if (found == words_.end()) {
    return false;
  }
  words_.erase(found);
  return true;
}

std::string command::Rest() {
  return absl::StrJoin(std::exchange(words_, {}), " ");
}

bool command::Done() {
  if (!words_.empty()) {
    Fail(absl::StrCat("unexpected word \"", words_.front(), "\""));
  }
  return !error_;
}

void command::Fail(std::string text) {
  if (!error_) {
    error_ = std::move(text);
  }
}

std::optional<std::string> command::Named(std::string_view name) {
  const auto found = std::find(words_.begin(), words_.end(), name);
  if (found == words_.end()) {
    return std::nullopt;
  }
  if (found + 1 == words_.end()) {
    Fail(absl::StrCat("value of ", ToAbsl(name), " is missing"));
    words_.erase(found);
    return std::nullopt;
  }
  std::string value = *(found + 1);
  words_.erase(found, found + 2);
  return value;
}

std::int64_t command::ToNumber(const std::string& word) {
  std::int64_t number = 0;
  if (!absl::SimpleAtoi(word, &number) || number < 0 || number > kMaxNumber) {
    Fail(absl::StrCat("\"", word, "\" is not a number from 0 to ", kMaxNumber));
    return 0;
  }
  return number;
}

std::chrono::milliseconds command::ToDuration(const std::string& word) {
  absl::Duration duration;
  if (!absl::ParseDuration(word, &duration) ||
      duration < absl::ZeroDuration() ||
      duration > absl::FromChrono(kMaxDuration)) {
    Fail(absl::StrCat("\"", word, "\" is not a time from 0 to 24h"));
    return {};
  }
  return absl::ToChronoMilliseconds(duration);
}

}  // namespace skylarkbridge::scenario
