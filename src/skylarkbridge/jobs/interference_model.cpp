#include "skylarkbridge/jobs/interference_model.hpp"

#include <algorithm>

namespace skylarkbridge::jobs {

interference_model::serving_image& interference_model::FindOrAdd(
    std::string_view serving) {
  const auto found = images_.find(serving);
  if (found != images_.end()) {
    return found->second;
  }
  return images_
      .emplace(std::string(serving),
               serving_image{.coefficients = {options_.initial_level},
                             .covariance = {options_.initial_variance}})
      .first->second;
}

std::size_t interference_model::FindOrAddNeighbour(
    serving_image& image,
    std::string_view neighbour_image) const {
  const auto found = image.positions.find(neighbour_image);
  if (found != image.positions.end()) {
    return found->second;
  }
  const std::size_t old_size = image.coefficients.size();
  const std::size_t size = old_size + 1;
  std::vector<double> covariance(size * size, 0);
  for (std::size_t row = 0; row < old_size; ++row) {
    for (std::size_t column = 0; column < old_size; ++column) {
      covariance[row * size + column] =
          image.covariance[row * old_size + column];
    }
  }
  covariance[size * size - 1] = options_.initial_variance;
  image.covariance = std::move(covariance);
  image.coefficients.push_back(0);
  image.positions.emplace(std::string(neighbour_image), old_size);
  return old_size;
}

void interference_model::Update(std::string_view serving,
                                double log_ratio,
                                const std::vector<neighbour>& neighbours) {
  serving_image& image = FindOrAdd(serving);
  std::vector<std::size_t> positions;
  positions.reserve(neighbours.size());
  for (const neighbour& neighbour_task : neighbours) {
    positions.push_back(FindOrAddNeighbour(image, neighbour_task.image));
  }
  const std::size_t size = image.coefficients.size();
  std::vector<double> input(size, 0);
  input[0] = 1;
  for (std::size_t index = 0; index < neighbours.size(); ++index) {
    input[positions[index]] += neighbours[index].load;
  }
  std::vector<double> covariance_input(size, 0);
  double denominator = options_.forgetting_factor;
  double error = log_ratio;
  for (std::size_t row = 0; row < size; ++row) {
    for (std::size_t column = 0; column < size; ++column) {
      covariance_input[row] +=
          image.covariance[row * size + column] * input[column];
    }
    denominator += input[row] * covariance_input[row];
    error -= input[row] * image.coefficients[row];
  }
  for (std::size_t row = 0; row < size; ++row) {
    image.coefficients[row] += covariance_input[row] / denominator * error;
    for (std::size_t column = 0; column < size; ++column) {
      double& entry = image.covariance[row * size + column];
      entry = (entry -
               covariance_input[row] * covariance_input[column] / denominator) /
              options_.forgetting_factor;
      entry = std::clamp(entry, -options_.max_variance, options_.max_variance);
    }
  }
}

double interference_model::TailImpact(std::string_view serving,
                                      std::string_view neighbour_image) const {
  const auto image = images_.find(serving);
  if (image == images_.end()) {
    return 0;
  }
  const auto position = image->second.positions.find(neighbour_image);
  return position == image->second.positions.end()
             ? 0
             : std::max(0.0, image->second.coefficients[position->second]);
}

double interference_model::Predict(
    std::string_view serving,
    const std::vector<neighbour>& neighbours) const {
  const auto image = images_.find(serving);
  double expected = image == images_.end() ? options_.initial_level
                                           : image->second.coefficients.front();
  for (const neighbour& neighbour_task : neighbours) {
    expected += TailImpact(serving, neighbour_task.image) * neighbour_task.load;
  }
  return expected;
}

}  // namespace skylarkbridge::jobs
