#ifndef SKYLARKBRIDGE_ENCODING_MUTATION_FAKE_HPP
#define SKYLARKBRIDGE_ENCODING_MUTATION_FAKE_HPP

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace skylarkbridge::encoding {

/// @brief Makes odd inputs of decoders from valid ones, for tests.
class input_mutator {
 public:
  explicit input_mutator(std::uint64_t seed) : random_(seed) {}

  /// @brief Returns the input with one to four random changes. @p tokens are
  /// parts of the format that a change may insert.
  std::string Mutate(std::string input,
                     const std::vector<std::string>& tokens) {
    const std::size_t changes = 1 + Below(4);
    for (std::size_t change = 0; change < changes; ++change) {
      Change(input, tokens);
    }
    return input;
  }

 private:
  /// Longest run of one inserted token.
  static constexpr std::size_t kMaxRepeats = 20'000;

  std::size_t Below(std::size_t limit) {
    return limit == 0 ? 0 : random_() % limit;
  }

  void Change(std::string& input, const std::vector<std::string>& tokens) {
    const std::size_t at = Below(input.size() + 1);
    const std::size_t size =
        Below(std::min<std::size_t>(input.size() - at, 32));
    switch (Below(6)) {
      case 0:  // flips a bit
        if (at < input.size()) {
          input[at] = static_cast<char>(input[at] ^ (1U << Below(8)));
        }
        break;
      case 1:
        input.resize(at);
        break;
      case 2:  // duplicates a part
        input.insert(at, input.substr(at, size));
        break;
      case 3:
        input.erase(at, size);
        break;
      case 4:  // replaces a part by a token
        input.replace(at, size, tokens[Below(tokens.size())]);
        break;
      default:
        input.insert(at, Repeated(tokens[Below(tokens.size())]));
        break;
    }
  }

  /// The token once, or many times in one of eight cases.
  std::string Repeated(const std::string& token) {
    const std::size_t count = Below(8) == 0 ? 1 + Below(kMaxRepeats) : 1;
    std::string repeated;
    for (std::size_t repeat = 0; repeat < count; ++repeat) {
      repeated += token;
    }
    return repeated;
  }

  std::mt19937_64 random_;
};

/// @brief Parts of JSON documents that decoders meet in odd inputs.
inline std::vector<std::string> JsonTokens() {
  return {"[",
          "{\"a\":",
          "]",
          "}",
          ",",
          ":",
          "\"",
          "\\",
          "null",
          "true",
          "-1",
          "0",
          "1e30",
          "1e400",
          "0.5",
          "1e-400",
          "\"\"",
          "\"x\"",
          "\xFF",
          "\xC3",
          "\\u0",
          "\\ud800",
          "\\udcff",
          "[]",
          "{}",
          "99999",
          "4294967296",
          "18446744073709551615",
          "-9223372036854775808",
          "9223372036854775807"};
}

/// @brief Parts of MessagePack documents, as above.
inline std::vector<std::string> MessagePackTokens() {
  return {"\x91",
          "\x81",
          "\x90",
          "\x80",
          "\xC0",
          "\xC1",
          "\xC3",
          "\xFF",
          "\xA1\xFF",
          "\xDD\xFF\xFF\xFF\xFF",
          "\xDF\xFF\xFF\xFF\xFF",
          "\xDB\xFF\xFF\xFF\xFF",
          "\xC9\xFF\xFF\xFF\xFF\x01",
          "\xCB\x7F\xF0" + std::string(6, '\0'),
          "\xCB\x7F\xEF\xFF\xFF\xFF\xFF\xFF\xFF",
          "\xCF\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF",
          "\xD3\x80" + std::string(7, '\0')};
}

/// @brief Decodes mutated inputs with each of the seeds 1 to 4, or those that
/// the environment variables FIRST_SEED and LAST_SEED select. A decoder fails
/// the test by an exception; the trace names the seed.
template <class Decode>
void DecodeMutatedInputs(const std::vector<std::string>& valid_inputs,
                         const std::vector<std::string>& tokens,
                         Decode decode) {
  constexpr int kInputsPerSeed = 100;
  const auto seed_or = [](const char* name, std::uint64_t fallback) {
    const char* const text = std::getenv(name);
    std::uint64_t seed = 0;
    return text != nullptr && absl::SimpleAtoi(text, &seed) ? seed : fallback;
  };
  const std::uint64_t last = seed_or("LAST_SEED", 4);
  for (std::uint64_t seed = seed_or("FIRST_SEED", 1); seed <= last; ++seed) {
    SCOPED_TRACE(absl::StrCat("seed ", seed));
    input_mutator mutator(seed);
    for (const std::string& valid : valid_inputs) {
      for (int input = 0; input < kInputsPerSeed; ++input) {
        const std::string mutated = mutator.Mutate(valid, tokens);
        ASSERT_NO_THROW(decode(mutated));
      }
    }
  }
}

}  // namespace skylarkbridge::encoding

#endif  // SKYLARKBRIDGE_ENCODING_MUTATION_FAKE_HPP
