#ifndef SKYLARKBRIDGE_WIRE_DECODE_ERROR_HPP
#define SKYLARKBRIDGE_WIRE_DECODE_ERROR_HPP

#include <string>

namespace skylarkbridge::wire {

enum class decode_fault {
  /// Larger than the limit of the frame or field.
  kTooLarge,
  /// Another protocol version.
  kWrongVersion,
  /// Not a well-formed message.
  kMalformed,
  /// Well-formed, with a value that is not allowed.
  kOutOfRange,
};

/// @brief Error payload of decoding and encoding.
struct decode_error {
  decode_fault fault = decode_fault::kMalformed;
  /// For example "hello.sender.port".
  std::string place;
  std::string message;

  bool operator==(const decode_error&) const = default;
};

/// @brief "place: message".
inline std::string Format(const decode_error& error) {
  return error.place + ": " + error.message;
}

}  // namespace skylarkbridge::wire

#endif  // SKYLARKBRIDGE_WIRE_DECODE_ERROR_HPP
