#include "skylarkbridge/encoding/bounded_parse.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <optional>

namespace skylarkbridge::encoding {
namespace {

using nlohmann::json;

/// Longest text of an exception that is passed on, in bytes.
constexpr std::size_t kMaxMessageBytes = 200;
/// Identifier that the library gives to its other_error.
constexpr int kOtherErrorId = 501;

/// A value that is no container, or a container that precedes its items.
struct item_header {
  /// Bytes of the value that follow its header.
  std::uint64_t payload_bytes = 0;
  /// Values that the container holds; a pair of a map counts twice.
  std::uint64_t items = 0;
};

/// Reads the headers of the values of a MessagePack document one by one.
class header_reader {
 public:
  explicit header_reader(std::string_view bytes) : rest_(bytes) {}

  std::size_t BytesLeft() const { return rest_.size(); }

  /// Reads a header and skips the payload. Nullopt at the end of the bytes.
  std::optional<item_header> Next() {
    const std::optional<item_header> header = ReadHeader();
    if (!header || header->payload_bytes > rest_.size()) {
      return std::nullopt;
    }
    rest_.remove_prefix(header->payload_bytes);
    return header;
  }

 private:
  std::optional<item_header> ReadHeader() {
    const std::optional<std::uint64_t> first = ReadInteger(1);
    if (!first) {
      return std::nullopt;
    }
    const std::uint64_t type = *first;
    if (type >= 0x80 && type <= 0x8F) {  // map of up to 15 pairs
      return item_header{.items = 2 * (type & 0x0F)};
    }
    if (type >= 0x90 && type <= 0x9F) {  // array of up to 15 items
      return item_header{.items = type & 0x0F};
    }
    if (type >= 0xA0 && type <= 0xBF) {  // string of up to 31 bytes
      return item_header{.payload_bytes = type & 0x1F};
    }
    if (type >= 0xC0 && type <= 0xDF) {
      return ReadLongHeader(type);
    }
    return item_header{};  // small integer
  }

  /// Reads the header of a type whose first byte is 0xC0 to 0xDF.
  std::optional<item_header> ReadLongHeader(std::uint64_t type) {
    switch (type) {
      case 0xC4:  // binary
      case 0xC5:
      case 0xC6:
        return WithPayload(ReadInteger(1U << (type - 0xC4)), 0);
      case 0xC7:  // extension, whose type takes another byte
      case 0xC8:
      case 0xC9:
        return WithPayload(ReadInteger(1U << (type - 0xC7)), 1);
      case 0xCA:  // 32-bit float
        return item_header{.payload_bytes = 4};
      case 0xCB:  // 64-bit float
        return item_header{.payload_bytes = 8};
      case 0xCC:  // unsigned integer
      case 0xCD:
      case 0xCE:
      case 0xCF:
        return item_header{.payload_bytes = 1ULL << (type - 0xCC)};
      case 0xD0:  // signed integer
      case 0xD1:
      case 0xD2:
      case 0xD3:
        return item_header{.payload_bytes = 1ULL << (type - 0xD0)};
      case 0xD4:  // extension of fixed size
      case 0xD5:
      case 0xD6:
      case 0xD7:
      case 0xD8:
        return item_header{.payload_bytes = 1 + (1ULL << (type - 0xD4))};
      case 0xD9:  // string
      case 0xDA:
      case 0xDB:
        return WithPayload(ReadInteger(1U << (type - 0xD9)), 0);
      case 0xDC:  // array
      case 0xDD:
        return WithItems(ReadInteger(2U << (type - 0xDC)), 1);
      case 0xDE:  // map
      case 0xDF:
        return WithItems(ReadInteger(2U << (type - 0xDE)), 2);
      default:  // null, booleans and the unused type
        return item_header{};
    }
  }

  static std::optional<item_header> WithPayload(
      std::optional<std::uint64_t> size,
      std::uint64_t more_bytes) {
    return size
               ? std::optional(item_header{.payload_bytes = *size + more_bytes})
               : std::nullopt;
  }

  static std::optional<item_header> WithItems(
      std::optional<std::uint64_t> count,
      std::uint64_t values_per_item) {
    return count ? std::optional(item_header{.items = *count * values_per_item})
                 : std::nullopt;
  }

  /// Reads a big-endian integer of at most 4 bytes.
  std::optional<std::uint64_t> ReadInteger(std::size_t size) {
    if (rest_.size() < size) {
      return std::nullopt;
    }
    std::uint64_t value = 0;
    for (const char byte : rest_.substr(0, size)) {
      value = value << 8U | static_cast<unsigned char>(byte);
    }
    rest_.remove_prefix(size);
    return value;
  }

  std::string_view rest_;
};

}  // namespace

bool IsTooDeep(std::string_view json_text) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t at = 0; at < json_text.size(); ++at) {
    const char letter = json_text[at];
    if (in_string) {
      if (letter == '\\') {
        ++at;
      } else if (letter == '"') {
        in_string = false;
      }
    } else if (letter == '"') {
      in_string = true;
    } else if (letter == '[' || letter == '{') {
      if (++depth > kMaxDepth) {
        return true;
      }
    } else if ((letter == ']' || letter == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

bool IsMessagePackOutOfBounds(std::string_view bytes) {
  header_reader reader(bytes);
  // Values that are left to read in each open container.
  std::array<std::uint64_t, kMaxDepth> items_left{};
  std::size_t depth = 0;
  do {
    const std::optional<item_header> header = reader.Next();
    if (!header) {
      return false;  // truncated, which the parser reports
    }
    if (depth > 0) {
      --items_left[depth - 1];
    }
    if (header->items > reader.BytesLeft()) {
      return true;
    }
    if (header->items > 0) {
      if (depth == kMaxDepth) {
        return true;
      }
      items_left[depth++] = header->items;
    }
    while (depth > 0 && items_left[depth - 1] == 0) {
      --depth;
    }
  } while (depth > 0);
  return false;
}

void ThrowInvalid(const std::string& reason) {
  throw json::other_error::create(kOtherErrorId, reason, nullptr);
}

const json& RequireArray(const json& value) {
  if (!value.is_array()) {
    ThrowInvalid("not an array");
  }
  return value;
}

std::string Message(const json::exception& error) {
  std::string text = error.what();
  if (text.size() > kMaxMessageBytes) {
    text.resize(kMaxMessageBytes);
  }
  std::replace_if(
      text.begin(), text.end(),
      [](char letter) { return letter < ' ' || letter > '~'; }, '?');
  return text;
}

json ParseMessagePack(std::string_view bytes) {
  if (IsMessagePackOutOfBounds(bytes)) {
    ThrowInvalid("nested too deeply, or a container without its items");
  }
  return json::from_msgpack(bytes);
}

}  // namespace skylarkbridge::encoding
