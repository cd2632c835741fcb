#include "skylarkbridge/wire/frame.hpp"

#include <boost/leaf/error.hpp>

#include "absl/strings/str_cat.h"

namespace skylarkbridge::wire {
namespace {

constexpr std::size_t kMaxBodyBytes = kMaxFrameBytes - kFrameHeaderBytes;

void PutLittleEndian(std::string& out, std::uint32_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) {
    out.push_back(static_cast<char>((value >> (8 * i)) & 0xffU));
  }
}

std::uint32_t GetLittleEndian(std::string_view bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    value |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i]))
             << (8 * i);
  }
  return value;
}

}  // namespace

boost::leaf::result<std::string> EncodeFrame(std::string_view body) {
  if (body.size() > kMaxBodyBytes) {
    return boost::leaf::new_error(decode_error{
        decode_fault::kTooLarge, "frame.length",
        absl::StrCat(body.size(), " bytes are above ", kMaxBodyBytes)});
  }
  std::string frame;
  frame.reserve(kFrameHeaderBytes + body.size());
  PutLittleEndian(frame, static_cast<std::uint32_t>(body.size()), 4);
  PutLittleEndian(frame, kProtocolVersion, 2);
  PutLittleEndian(frame, 0, 2);
  frame.append(body);
  return frame;
}

void frame_decoder::Feed(std::string_view bytes) {
  // Moving the rest to the front only here keeps Next linear over many frames.
  buffer_.erase(0, begin_);
  begin_ = 0;
  buffer_.append(bytes);
}

boost::leaf::result<bool> frame_decoder::Next(std::string& body) {
  const std::string_view waiting = std::string_view(buffer_).substr(begin_);
  if (waiting.size() < kFrameHeaderBytes) {
    return false;
  }
  const std::uint32_t length = GetLittleEndian(waiting.substr(0, 4));
  const std::uint32_t version = GetLittleEndian(waiting.substr(4, 2));
  if (version != kProtocolVersion) {
    return boost::leaf::new_error(decode_error{
        decode_fault::kWrongVersion, "frame.version",
        absl::StrCat("version ", version, " is not ", kProtocolVersion)});
  }
  if (GetLittleEndian(waiting.substr(6, 2)) != 0) {
    return boost::leaf::new_error(decode_error{
        decode_fault::kMalformed, "frame.reserved", "is not zero"});
  }
  if (length > kMaxBodyBytes) {
    return boost::leaf::new_error(
        decode_error{decode_fault::kTooLarge, "frame.length",
                     absl::StrCat(length, " bytes are above ", kMaxBodyBytes)});
  }
  if (waiting.size() < kFrameHeaderBytes + length) {
    return false;
  }
  body.assign(waiting.substr(kFrameHeaderBytes, length));
  begin_ += kFrameHeaderBytes + length;
  return true;
}

}  // namespace skylarkbridge::wire
