/// Configuration of Tintes Muestra Andina: about 65 workers of 32 cores and
/// 125 GB in each of four data centres. Batch work and courier manifests must
/// finish before the van leaves, so they hold most of the guaranteed shares.
#include "skylarkbridge/declaration/declare.hpp"

namespace {

using namespace std::chrono_literals;
using namespace skylarkbridge::declaration;

/// Label-and-slip runs for single kit orders. A run that is repeated makes two
/// kits and two invoices, so it is not idempotent.
const service kDespacho = {
    .name = "despacho",
    .team = "despacho",
    .claim = {.minimum_permille = 300, .cap_permille = 700},
    .default_deadline = 2s,
    .longest_deadline = 10s,
    .latency_objective = 150ms,
    .idempotent = false,
    .spill = true,
    .queue_limit = 2000,
    .urgency = 200,
};

/// Colour match from a photo. The photo decides the result, so a task may run
/// again.
const batch_kind kColourMatch = {
    .name = "colour-match",
    .team = "taller",
    .claim = {.minimum_permille = 400, .cap_permille = 900},
    .size = {.millicores = Cores(4), .memory_mib = Gibibytes(6)},
    .run_time = 90s,
    .idempotent = true,
    .checkpoints = true,
    .queue_limit = 50'000,
    .urgency = 50,
};

/// Keeps a courier's manifest open all day; many waits and little work. At
/// most 8 share a rack, so that a lost rack delays few vans.
const batch_kind kCourierManifest = {
    .name = "courier-manifest",
    .team = "despacho",
    .claim = {.minimum_permille = 100, .cap_permille = 300},
    .size = {.millicores = 250, .memory_mib = 512},
    .run_time = 10h,
    .idempotent = false,
    .checkpoints = true,
    .rack_limit = 8,
    .queue_limit = 2000,
    .urgency = 80,
};

}  // namespace

int main() {
  return PrintOrReport(Declare(
      team{.name = "despacho",
           .claim = {.minimum_permille = 400, .cap_permille = 800}},
      team{.name = "taller",
           .claim = {.minimum_permille = 400, .cap_permille = 900},
           .quota = {.millicores = Cores(1800), .memory_mib = Gibibytes(6500)}},
      kDespacho, kColourMatch, kCourierManifest));
}
