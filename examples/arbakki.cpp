/// Configuration of Árbakki: about 50 workers of 16 cores and 60 GB in each of
/// four data centres. A secretary who submits at the deadline must get an
/// answer, so the entry desk holds most of the guaranteed shares.
#include "skylarkbridge/declaration/declare.hpp"

namespace {

using namespace std::chrono_literals;
using namespace skylarkbridge::declaration;

/// Crew submissions. One that is repeated lists a boat twice, so it is not
/// idempotent. The queue takes the night before the draw, when every club's
/// entries arrive.
const service kEntryDesk = {
    .name = "entry-desk",
    .team = "entries",
    .claim = {.minimum_permille = 500, .cap_permille = 900},
    .default_deadline = 3s,
    .longest_deadline = 15s,
    .latency_objective = 80ms,
    .idempotent = false,
    .spill = true,
    .queue_limit = 5000,
    .urgency = 200,
};

/// Last-minute seat swaps. A swap names the crew that results, so that it may
/// run again.
const service kSeatSwap = {
    .name = "seat-swap",
    .team = "entries",
    .claim = {.minimum_permille = 200, .cap_permille = 600},
    .default_deadline = 1s,
    .longest_deadline = 5s,
    .latency_objective = 60ms,
    .idempotent = true,
    .spill = true,
    .queue_limit = 1000,
    .urgency = 300,
};

/// Heat draws. The seed is part of the task, so that a repeated draw gives the
/// same heats.
const batch_kind kHeatDraw = {
    .name = "heat-draw",
    .team = "regatta",
    .claim = {.minimum_permille = 200, .cap_permille = 600},
    .size = {.millicores = Cores(2), .memory_mib = Gibibytes(3)},
    .run_time = 2min,
    .idempotent = true,
    .checkpoints = true,
    .rack_limit = 12,
    .queue_limit = 5000,
    .urgency = 100,
};

}  // namespace

int main() {
  return PrintOrReport(Declare(
      team{.name = "entries",
           .claim = {.minimum_permille = 700, .cap_permille = 950}},
      team{.name = "regatta",
           .claim = {.minimum_permille = 200, .cap_permille = 600},
           .quota = {.millicores = Cores(480), .memory_mib = Gibibytes(1800)}},
      kEntryDesk, kSeatSwap, kHeatDraw));
}
