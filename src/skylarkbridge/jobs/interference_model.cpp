#include "skylarkbridge/jobs/interference_model.hpp"

#include <algorithm>

namespace skylarkbridge::jobs {
namespace {

/// Keeps tiny amounts from taking the whole blame.
constexpr double kAmountFloor = 0.3;

}  // namespace

void interference_model::Learn(std::string_view serving,
                               double ratio,
                               const std::vector<neighbour>& neighbours) {
  auto entry = images_.find(serving);
  if (entry == images_.end()) {
    entry = images_
                .emplace(std::string(serving),
                         serving_image{.level = options_.first_level})
                .first;
  }
  serving_image& image = entry->second;
  double expected = image.level;
  double square = kAmountFloor;
  for (const neighbour& other : neighbours) {
    expected += Harm(serving, other.image) * other.amount;
    square += other.amount * other.amount;
  }
  const double error = ratio - expected;
  if (neighbours.empty()) {
    image.level += options_.level_rate * error;
    return;
  }
  for (const neighbour& other : neighbours) {
    double& harm = image.harms[std::string(other.image)];
    harm = std::clamp(
        harm + options_.learning_rate * other.amount * error / square, 0.0,
        options_.max_harm);
  }
}

double interference_model::Harm(std::string_view serving,
                                std::string_view neighbour_image) const {
  const auto image = images_.find(serving);
  if (image == images_.end()) {
    return 0;
  }
  const auto harm = image->second.harms.find(neighbour_image);
  return harm == image->second.harms.end() ? 0 : harm->second;
}

}  // namespace skylarkbridge::jobs
