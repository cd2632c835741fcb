#ifndef SKYLARKBRIDGE_WIRE_CONFIGURATION_PARTS_HPP
#define SKYLARKBRIDGE_WIRE_CONFIGURATION_PARTS_HPP

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "skylarkbridge/coordination/configuration_version.hpp"
#include "skylarkbridge/wire/decode_error.hpp"
#include "skylarkbridge/wire/peer_message.hpp"

namespace skylarkbridge::wire {

/// @brief Bytes of text in one part; a part fits into a frame.
inline constexpr std::size_t kConfigurationPartBytes = 512U << 10U;
/// @brief Largest configuration that peers pass on.
inline constexpr std::size_t kMaxConfigurationBytes = 8U << 20U;

/// @brief Cuts a configuration into parts.
std::vector<configuration_part> SplitConfiguration(
    const coordination::known_version& version);

/// @brief Puts the parts from one peer together. A part of a newer version
/// drops what was collected.
class configuration_assembler {
 public:
  /// @brief Adds the next part. Returns the whole once it is complete. Fails
  /// with decode_error (kTooLarge, kOutOfRange) and drops what was collected.
  boost::leaf::result<std::optional<coordination::known_version>> Add(
      configuration_part part);

 private:
  std::optional<configuration_part> collected_;
};

}  // namespace skylarkbridge::wire

#endif  // SKYLARKBRIDGE_WIRE_CONFIGURATION_PARTS_HPP
