#include "skylarkbridge/wire/configuration_parts.hpp"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace skylarkbridge::wire {

std::vector<configuration_part> SplitConfiguration(
    const coordination::known_version& version) {
  const std::size_t parts = std::max<std::size_t>(
      (version.text.size() + kConfigurationPartBytes - 1) /
          kConfigurationPartBytes,
      1);
  std::vector<configuration_part> split;
  for (std::size_t i = 0; i < parts; ++i) {
    split.push_back({.version = version.Tag(),
                     .valid_until = version.valid_until,
                     .part = static_cast<std::uint32_t>(i),
                     .parts = static_cast<std::uint32_t>(parts),
                     .text = version.text.substr(i * kConfigurationPartBytes,
                                                 kConfigurationPartBytes)});
  }
  return split;
}

boost::leaf::result<std::optional<coordination::known_version>>
configuration_assembler::Add(configuration_part part) {
  if (part.part == 0) {
    collected_ = std::move(part);
  } else if (!collected_ || part.version != collected_->version ||
             part.parts != collected_->parts ||
             part.part != collected_->part + 1) {
    collected_.reset();
    return boost::leaf::new_error(decode_error{
        decode_fault::kOutOfRange, "configuration_part.part",
        absl::StrCat("part ", part.part, " does not follow the last one")});
  } else {
    collected_->part = part.part;
    collected_->text += part.text;
  }
  if (collected_->text.size() > kMaxConfigurationBytes) {
    collected_.reset();
    return boost::leaf::new_error(decode_error{
        decode_fault::kTooLarge, "configuration_part.text",
        absl::StrCat("more than ", kMaxConfigurationBytes, " bytes")});
  }
  std::optional<coordination::known_version> whole;
  if (collected_->part + 1 == collected_->parts) {
    whole = coordination::known_version{.number = collected_->version.number,
                                        .text = std::move(collected_->text),
                                        .valid_until = collected_->valid_until};
    collected_.reset();
  }
  return whole;
}

}  // namespace skylarkbridge::wire
