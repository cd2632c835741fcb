#ifndef SKYLARKBRIDGE_BASE_STABLE_HASH_HPP
#define SKYLARKBRIDGE_BASE_STABLE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace skylarkbridge {

/// @brief FNV-1a of the bytes: the same on every VM and in every release, which
/// the hashes of the standard library and of Abseil don't promise.
constexpr std::uint64_t StableHash(std::string_view bytes) {
  constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = kOffsetBasis;
  for (const char byte : bytes) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
  }
  return hash;
}

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_STABLE_HASH_HPP
