#include "skylarkbridge/telemetry/trace_context.hpp"

#include <algorithm>
#include <cstring>

#include "absl/random/random.h"

namespace skylarkbridge::telemetry {
namespace {

// Layout: "00-" 32 digits "-" 16 digits "-" 2 digits.
constexpr std::size_t kHeaderLength = 55;
constexpr std::size_t kTraceOffset = 3;
constexpr std::size_t kSpanOffset = 36;
constexpr std::size_t kFlagsOffset = 53;
constexpr char kDigits[] = "0123456789abcdef";

int DigitValue(char digit) {
  const char* found = std::strchr(kDigits, digit);
  return digit != '\0' && found != nullptr ? static_cast<int>(found - kDigits)
                                           : -1;
}

bool ReadHex(std::string_view digits, std::uint8_t* bytes) {
  for (std::size_t i = 0; i < digits.size(); i += 2) {
    const int high = DigitValue(digits[i]);
    const int low = DigitValue(digits[i + 1]);
    if (high < 0 || low < 0) {
      return false;
    }
    bytes[i / 2] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return true;
}

template <std::size_t N>
std::string WriteHex(const std::array<std::uint8_t, N>& bytes) {
  std::string text;
  text.reserve(2 * N);
  for (const std::uint8_t byte : bytes) {
    text += kDigits[byte / 16];
    text += kDigits[byte % 16];
  }
  return text;
}

template <std::size_t N>
bool AllZero(const std::array<std::uint8_t, N>& bytes) {
  return std::all_of(bytes.begin(), bytes.end(),
                     [](std::uint8_t byte) { return byte == 0; });
}

template <std::size_t N>
void FillRandom(std::array<std::uint8_t, N>& bytes) {
  thread_local absl::InsecureBitGen generator;
  do {
    for (std::uint8_t& byte : bytes) {
      byte = absl::Uniform<std::uint8_t>(generator);
    }
  } while (AllZero(bytes));
}

}  // namespace

std::optional<trace_context> ParseTraceparent(std::string_view header) {
  trace_context context;
  std::uint8_t flags = 0;
  if (header.size() != kHeaderLength || header.substr(0, 3) != "00-" ||
      header[kSpanOffset - 1] != '-' || header[kFlagsOffset - 1] != '-' ||
      !ReadHex(header.substr(kTraceOffset, 32), context.trace.data()) ||
      !ReadHex(header.substr(kSpanOffset, 16), context.span.data()) ||
      !ReadHex(header.substr(kFlagsOffset, 2), &flags) ||
      AllZero(context.trace) || AllZero(context.span)) {
    return std::nullopt;
  }
  context.sampled = (flags & 1) != 0;
  return context;
}

std::string FormatTraceparent(const trace_context& context) {
  return "00-" + ToHex(context.trace) + "-" + ToHex(context.span) +
         (context.sampled ? "-01" : "-00");
}

std::string ToHex(const trace_id& id) {
  return WriteHex(id);
}

std::string ToHex(const span_id& id) {
  return WriteHex(id);
}

trace_context NewTrace() {
  trace_context context;
  FillRandom(context.trace);
  return context;
}

trace_context NewSpan(const trace_context& parent) {
  trace_context context = parent;
  FillRandom(context.span);
  return context;
}

}  // namespace skylarkbridge::telemetry
