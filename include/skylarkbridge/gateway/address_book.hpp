#ifndef SKYLARKBRIDGE_GATEWAY_ADDRESS_BOOK_HPP
#define SKYLARKBRIDGE_GATEWAY_ADDRESS_BOOK_HPP

#include <optional>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/ip_address.hpp"

namespace skylarkbridge::gateway {

/// @brief Addresses of workers, set by the control thread and read by traffic
/// threads.
class address_book {
 public:
  void Set(worker_id worker, const ip_address& address) {
    absl::MutexLock lock(&mutex_);
    addresses_[worker] = address;
  }
  void Remove(worker_id worker) {
    absl::MutexLock lock(&mutex_);
    addresses_.erase(worker);
  }
  std::optional<ip_address> Find(worker_id worker) const {
    absl::MutexLock lock(&mutex_);
    const auto found = addresses_.find(worker);
    return found == addresses_.end() ? std::nullopt
                                     : std::optional(found->second);
  }

 private:
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<worker_id, ip_address> addresses_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_ADDRESS_BOOK_HPP
