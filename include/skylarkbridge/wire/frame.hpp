#ifndef SKYLARKBRIDGE_WIRE_FRAME_HPP
#define SKYLARKBRIDGE_WIRE_FRAME_HPP

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "skylarkbridge/wire/decode_error.hpp"

namespace skylarkbridge::wire {

/// @brief Raised when a message changes its meaning; VMs of other versions are
/// refused.
inline constexpr std::uint16_t kProtocolVersion = 1;
/// @brief Length of the body, protocol version, and two bytes that are zero;
/// little endian.
inline constexpr std::size_t kFrameHeaderBytes = 8;
/// @brief Largest frame, with its header.
inline constexpr std::size_t kMaxFrameBytes = 1U << 20U;

/// @brief Puts the header before the body. Fails with decode_error (kTooLarge).
boost::leaf::result<std::string> EncodeFrame(std::string_view body);

/// @brief Cuts a byte stream into bodies.
///
/// It holds at most one frame and what the last Feed brought beyond it. After
/// an error the stream cannot be continued.
class frame_decoder {
 public:
  /// @brief Adds bytes as they arrive.
  void Feed(std::string_view bytes);

  /// @brief Moves the next body to @p body; false when more bytes are needed.
  /// Fails with decode_error (kTooLarge, kWrongVersion, kMalformed); the header
  /// is checked as soon as it is complete.
  boost::leaf::result<bool> Next(std::string& body);

  std::size_t Buffered() const { return buffer_.size() - begin_; }

 private:
  std::string buffer_;
  std::size_t begin_ = 0;
};

}  // namespace skylarkbridge::wire

#endif  // SKYLARKBRIDGE_WIRE_FRAME_HPP
