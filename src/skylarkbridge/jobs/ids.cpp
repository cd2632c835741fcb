#include "skylarkbridge/jobs/ids.hpp"

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace skylarkbridge::jobs {
namespace {

constexpr std::size_t kJobIdDigits = 16;

template <class Number>
bool ParseNumber(std::string_view text, Number& number, int base = 10) {
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number, base);
  return error == std::errc{} && stop == end && !text.empty();
}

/// The bit of job_id::capitals for the digit at a position of the text.
std::uint16_t CapitalBit(std::size_t position) {
  return static_cast<std::uint16_t>(1U << (kJobIdDigits - 1 - position));
}

}  // namespace

std::string Format(job_id id) {
  std::string text = absl::StrCat(absl::Hex(id.value, absl::kZeroPad16));
  for (std::size_t position = 0; position < text.size(); ++position) {
    if ((id.capitals & CapitalBit(position)) != 0) {
      text[position] = absl::ascii_toupper(text[position]);
    }
  }
  return text;
}

std::optional<job_id> ParseJobId(std::string_view text) {
  job_id id;
  if (text.size() != kJobIdDigits || !ParseNumber(text, id.value, 16)) {
    return std::nullopt;
  }
  for (std::size_t position = 0; position < text.size(); ++position) {
    if (absl::ascii_isupper(text[position])) {
      id.capitals |= CapitalBit(position);
    }
  }
  return id;
}

std::string Format(const task_ref& task) {
  return absl::StrCat(Format(task.job), ".", task.occurrence, ".", task.step,
                      ".", task.index);
}

std::optional<task_ref> ParseTaskRef(std::string_view text) {
  std::array<std::string_view, 4> parts;
  for (std::size_t part = 0; part < parts.size(); ++part) {
    const std::size_t dot = text.find('.');
    const bool last = part + 1 == parts.size();
    if ((dot == std::string_view::npos) != last) {
      return std::nullopt;
    }
    parts[part] = text.substr(0, dot);
    text.remove_prefix(last ? text.size() : dot + 1);
  }
  task_ref task;
  const std::optional<job_id> job = ParseJobId(parts[0]);
  if (!job || !ParseNumber(parts[1], task.occurrence) ||
      !ParseNumber(parts[2], task.step) || !ParseNumber(parts[3], task.index)) {
    return std::nullopt;
  }
  task.job = *job;
  return task;
}

}  // namespace skylarkbridge::jobs
