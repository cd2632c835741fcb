#ifndef SKYLARKBRIDGE_RECORDS_JOB_RECORD_CODEC_HPP
#define SKYLARKBRIDGE_RECORDS_JOB_RECORD_CODEC_HPP

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkbridge/jobs/job_record.hpp"

namespace skylarkbridge::records {

/// @brief A record of the log as the store keeps it: the newest one of each key
/// is kept for good.
struct keyed_record {
  std::string key;
  /// Nothing drops the key.
  std::optional<std::string> value;

  bool operator==(const keyed_record&) const = default;
};

/// @brief Encodes a record as MessagePack under the key of its subject.
keyed_record Encode(const jobs::log_record& record);

/// @brief Key of the record that accepts a job.
std::string AcceptedKey(jobs::job_id job);

/// @brief The records that drop all keys of a job.
std::vector<keyed_record> EncodeDrop(jobs::job_id job);

/// @brief Decodes a record. Fails with `failure` when the key or the value is
/// not one that Encode writes. A dropped key of an acceptance reads as
/// job_dropped; the other dropped keys belong to it and read as nothing.
boost::leaf::result<std::optional<jobs::log_record>> Decode(
    std::string_view key,
    std::optional<std::string_view> value);

}  // namespace skylarkbridge::records

#endif  // SKYLARKBRIDGE_RECORDS_JOB_RECORD_CODEC_HPP
