#include <gflags/gflags.h>

#include <chrono>
#include <ostream>

#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/cli/commands.hpp"
#include "skylarkbridge/cli/flags.hpp"
#include "skylarkbridge/daemon/demo.hpp"

DEFINE_uint64(workers, 4, "number of stand-in workers, 1 to 100");
DEFINE_uint64(callers, 16, "number of callers at a time, 1 to 100");
DEFINE_int64(requests, 2000, "number of requests, 1 to 1000000");
DEFINE_int64(batch_tasks, 200, "number of batch tasks, 1 to 100000");
DEFINE_string(service_time, "2ms", "time that a worker takes for a request");
DEFINE_bool(keep, false, "leave everything up until interrupted");

namespace skylarkbridge::cli {
namespace {

template <class Number>
void CheckRange(const char* place, Number value, Number max, findings& found) {
  if (value < 1 || value > max) {
    found.Add(place, std::to_string(value) + " is not between 1 and " +
                         std::to_string(max));
  }
}

}  // namespace

int RunDemo(command_context& context) {
  findings found;
  CheckRange<std::size_t>("flag --workers", FLAGS_workers, 100, found);
  CheckRange<std::size_t>("flag --callers", FLAGS_callers, 100, found);
  CheckRange<std::int64_t>("flag --requests", FLAGS_requests, 1'000'000, found);
  CheckRange<std::int64_t>("flag --batch_tasks", FLAGS_batch_tasks, 100'000,
                           found);
  const auto service_time =
      ParseDuration(FLAGS_service_time, "flag --service_time", found);
  if (!found.Empty()) {
    context.errors << Format(found);
    return kExitUsage;
  }
  return daemon::RunDemo({.workers = FLAGS_workers,
                          .callers = FLAGS_callers,
                          .requests = FLAGS_requests,
                          .tasks = FLAGS_batch_tasks,
                          .service_time = service_time,
                          .keep = FLAGS_keep},
                         context.out);
}

}  // namespace skylarkbridge::cli
