#include "skylarkbridge/scenario/declared_words.hpp"

#include <chrono>
#include <cstdint>

#include "skylarkbridge/declaration/declare.hpp"

namespace skylarkbridge::scenario {

using declaration::Cores;
using declaration::Gibibytes;
using std::chrono::milliseconds;

declaration::share ReadShare(command& line) {
  return {.minimum_permille = line.Number("min", std::int64_t{0}),
          .cap_permille = line.Number("cap", std::int64_t{1000})};
}

declaration::service ReadService(command& line) {
  declaration::service service{.name = line.Word("name")};
  service.team = line.Word("team", "");
  service.claim = ReadShare(line);
  service.default_deadline =
      line.Duration("deadline", service.default_deadline);
  service.queue_limit = line.Number("queue", service.queue_limit);
  service.urgency = line.Number("urgency", service.urgency);
  service.latency_objective =
      line.Duration("objective", service.latency_objective);
  return service;
}

declaration::batch_kind ReadKind(command& line, true_behaviour& truth) {
  declaration::batch_kind kind{.name = line.Word("name")};
  kind.team = line.Word("team", "");
  kind.claim = ReadShare(line);
  const std::int64_t cores = line.Number("cores", std::int64_t{1});
  const std::int64_t memory = line.Number("memory", std::int64_t{1});
  kind.size = {.millicores = Cores(cores),
               .memory_mib = Gibibytes(memory),
               .accelerators = line.Number("accelerators", std::int64_t{0})};
  kind.run_time = line.Duration("run", milliseconds(10'000));
  kind.urgency = line.Number("urgency", kind.urgency);
  kind.queue_limit = line.Number("queue", kind.queue_limit);
  kind.rack_limit = line.Number("rack_limit", kind.rack_limit);
  kind.checkpoints = line.Flag("checkpoints");
  kind.idempotent = !line.Flag("non_idempotent");
  truth.takes = line.Duration("takes", kind.run_time);
  truth.uses = {.millicores = Cores(line.Number("uses_cores", cores)),
                .memory_mib = Gibibytes(line.Number("uses_memory", memory)),
                .accelerators = kind.size.accelerators};
  truth.noise_permille = line.Number("noise", std::int64_t{0});
  truth.fails = line.Flag("fails");
  return kind;
}

fleet_worker ReadWorker(command& line) {
  fleet_worker worker;
  worker.slots = line.Number("slots", std::int64_t{8});
  worker.connections = line.Number("connections", std::int64_t{64});
  worker.room = {
      .millicores = Cores(line.Number("cores", std::int64_t{16})),
      .memory_mib = Gibibytes(line.Number("memory", std::int64_t{60})),
      .accelerators = line.Number("accelerators", std::int64_t{0})};
  return worker;
}

}  // namespace skylarkbridge::scenario
