#ifndef SKYLARKBRIDGE_RECORDS_JOB_RECORD_CODEC_HPP
#define SKYLARKBRIDGE_RECORDS_JOB_RECORD_CODEC_HPP

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkbridge/jobs/job_record.hpp"

namespace skylarkbridge::records {

/// @brief An encoded record of the log. The store retains the newest record of
/// each key.
struct keyed_record {
  std::string key;
  /// Nullopt deletes the key.
  std::optional<std::string> value;

  /// @brief Bytes that count towards the store's limit of a record.
  std::size_t Bytes() const {
    return sizeof(std::uint8_t) + key.size() + (value ? value->size() : 0);
  }

  bool operator==(const keyed_record&) const = default;
};

/// @brief The job whose progress a record holds; nullopt for other records.
std::optional<jobs::job_id> JobOfProgress(const keyed_record& record);

/// @brief Encodes a record as MessagePack. Its key names the kind of the record
/// and the job, if it concerns one.
keyed_record Encode(const jobs::log_record& record);

/// @brief Returns the key of a job's job_accepted record.
std::string AcceptedKey(jobs::job_id job);

/// @brief Returns the records that delete all keys of a job. Encode of a
/// job_dropped deletes only the key of its job_accepted record.
std::vector<keyed_record> EncodeDrop(jobs::job_id job);

/// @brief Decodes a record. Fails with `failure` when Encode can't have written
/// the key or the value. The deletion of a job_accepted record decodes as
/// job_dropped; that of any other record as nullopt.
boost::leaf::result<std::optional<jobs::log_record>> Decode(
    std::string_view key,
    std::optional<std::string_view> value);

}  // namespace skylarkbridge::records

#endif  // SKYLARKBRIDGE_RECORDS_JOB_RECORD_CODEC_HPP
