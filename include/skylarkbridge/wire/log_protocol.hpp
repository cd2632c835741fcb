#ifndef SKYLARKBRIDGE_WIRE_LOG_PROTOCOL_HPP
#define SKYLARKBRIDGE_WIRE_LOG_PROTOCOL_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/coordination/log_cursor.hpp"
#include "skylarkbridge/coordination/log_record.hpp"

/// @brief Records of the platform's log as JSON over HTTP:
/// POST and GET on /v1/streams/NAME/records.
namespace skylarkbridge::wire {

inline constexpr std::size_t kMaxLogPageBytes = 32 << 20;
inline constexpr std::size_t kMaxLogPageRecords = 10'000;

std::string EncodeRecord(const coordination::log_record& record);
std::optional<coordination::log_record> DecodeRecord(std::string_view text,
                                                     findings& found);

/// @brief Body of an append: {"records": [...]}, each record as a text, as the
/// log does not look into records.
std::string EncodeAppend(const std::vector<coordination::log_record>& records);
std::optional<std::vector<std::string>> DecodeAppend(std::string_view text,
                                                     findings& found);

/// @brief One page as the log holds it.
struct raw_page {
  coordination::log_offset first = 0;
  coordination::log_offset end = 0;
  std::vector<std::pair<coordination::log_offset, std::string>> records;
};

std::string EncodePage(const raw_page& page);
/// @brief Reads a page and its records. A record that cannot be read is left
/// out with a finding, and the rest of the page counts.
std::optional<coordination::read_page> DecodePage(std::string_view text,
                                                  findings& found);

}  // namespace skylarkbridge::wire

#endif  // SKYLARKBRIDGE_WIRE_LOG_PROTOCOL_HPP
