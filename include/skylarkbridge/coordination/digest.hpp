#ifndef SKYLARKBRIDGE_COORDINATION_DIGEST_HPP
#define SKYLARKBRIDGE_COORDINATION_DIGEST_HPP

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace skylarkbridge::coordination {

/// @brief Mixes a number so that each input bit changes half of the output
/// (the finaliser of SplitMix64).
constexpr std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15U;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

/// @brief Digest of a text, eight bytes at a time. Equal on every VM, which
/// absl::Hash is not, as it is seeded per process.
inline std::uint64_t Digest(std::string_view text) {
  static_assert(std::endian::native == std::endian::little);
  std::uint64_t hash = Mix(text.size());
  for (std::size_t i = 0; i < text.size(); i += sizeof(std::uint64_t)) {
    std::uint64_t word = 0;
    std::memcpy(&word, text.data() + i,
                std::min(sizeof(word), text.size() - i));
    hash = Mix(hash ^ word);
  }
  return hash;
}

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_DIGEST_HPP
