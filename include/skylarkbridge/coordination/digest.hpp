#ifndef SKYLARKBRIDGE_COORDINATION_DIGEST_HPP
#define SKYLARKBRIDGE_COORDINATION_DIGEST_HPP

#include <cstdint>
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

/// @brief 64-bit FNV-1a. Equal on every VM, which absl::Hash is not, as it is
/// seeded per process.
constexpr std::uint64_t Digest(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (const char letter : text) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3U;
  }
  return hash;
}

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_DIGEST_HPP
