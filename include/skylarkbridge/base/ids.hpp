#ifndef SKYLARKBRIDGE_BASE_IDS_HPP
#define SKYLARKBRIDGE_BASE_IDS_HPP

#include "skylarkbridge/base/strong_id.hpp"

namespace skylarkbridge {

/// @brief An entry VM, which runs a daemon of this system.
using entry_vm_id = strong_id<struct entry_vm_tag>;
/// @brief A worker VM; the upstream of requests and the place where tasks run.
using worker_id = strong_id<struct worker_tag>;
using rack_id = strong_id<struct rack_tag>;
using data_centre_id = strong_id<struct data_centre_tag>;
using region_id = strong_id<struct region_tag>;
using team_id = strong_id<struct team_tag>;
/// @brief A latency-critical service that an operator declared.
using service_id = strong_id<struct service_tag>;
/// @brief A kind of batch task that an operator declared.
using batch_kind_id = strong_id<struct batch_kind_tag>;
using request_id = strong_id<struct request_tag>;
using task_id = strong_id<struct task_tag>;
/// @brief A slice of the workers and tasks of one data centre.
using shard_id = strong_id<struct shard_tag>;
/// @brief Random number drawn when a process starts; differs between the lives
/// of one VM.
using incarnation_id = strong_id<struct incarnation_tag>;

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_IDS_HPP
