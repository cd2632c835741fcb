#ifndef SKYLARKBRIDGE_JOBS_MACHINE_LIST_READER_HPP
#define SKYLARKBRIDGE_JOBS_MACHINE_LIST_READER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/machine_list.hpp"

namespace skylarkbridge::jobs {

/// @brief A request for one page of the platform's list of machines.
struct machine_page_request {
  /// The reply carries the same number.
  std::uint64_t number = 0;
  /// Where the page begins; empty for the first one.
  std::string page_token;
};

/// @brief One page of the list of machines.
struct machine_page {
  /// The id of the worker on each machine; empty for a machine without one.
  std::map<std::string, std::string> workers;
  /// Where the next page begins; empty on the last one.
  std::string next_token;
};

/// @brief Timing and limits of a machine_list_reader.
struct machine_list_reader_options {
  /// Pause between the first two readings in a row, which usually show whether
  /// a worker is gone.
  std::chrono::milliseconds interval{200};
  /// Pause after each further one. Workers that are cut off stay in the list
  /// for seconds, and the platform limits the readings of all VMs together.
  std::chrono::milliseconds later_interval{500};
  /// Pause after a reading that failed.
  std::chrono::milliseconds retry_delay{500};
  /// A reading with more pages fails.
  std::size_t max_pages = 200;
};

/// @brief Reads the platform's list of machines page by page, as often as it is
/// needed. Does no input or output: callers send the requests and pass in the
/// pages.
class machine_list_reader {
 public:
  explicit machine_list_reader(machine_list_reader_options options)
      : options_(options) {}

  /// @brief Returns the request that is due, if any. At most one is under way.
  /// @param needed whether anybody waits for the list. A reading that nobody
  /// waits for any more is abandoned.
  std::optional<machine_page_request> Next(bool needed, time_point now);
  /// @brief Handles the reply to the request with the number.
  /// @param page empty when there is none that can be used.
  /// @return the list once its last page has arrived.
  std::optional<machine_list> Handle(std::uint64_t number,
                                     const std::optional<machine_page>& page,
                                     time_point now);

 private:
  /// Adds a page to the reading. Returns false when the two contradict each
  /// other or the reading does not come to its end.
  bool Add(const machine_page& page);

  const machine_list_reader_options options_;
  /// The pages that have arrived; empty between two readings.
  std::optional<machine_list> reading_;
  std::size_t pages_ = 0;
  /// Readings that have come to their end since the list was last not needed.
  std::size_t readings_in_a_row_ = 0;
  std::string next_token_;
  bool request_under_way_ = false;
  std::uint64_t last_number_ = 0;
  time_point next_request_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_MACHINE_LIST_READER_HPP
