#ifndef SKYLARKBRIDGE_JOBS_INTERFERENCE_MODEL_HPP
#define SKYLARKBRIDGE_JOBS_INTERFERENCE_MODEL_HPP

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkbridge::jobs {

/// @brief A best-effort task on the same worker as a serving task.
struct neighbour {
  std::string_view image;
  /// Processor use relative to that of a reference task on a reference worker.
  double load = 0;
};

struct interference_options {
  /// Factor by which each report reduces the weight of the earlier ones.
  double forgetting_factor = 0.999;
  /// Variance of a coefficient before its first report.
  double initial_variance = 0.5;
  /// Limit of the covariance entries: with forgetting, they would grow without
  /// bound while a neighbour image is not reported.
  double max_variance = 2;
  /// Log ratio of tail latency to target that is assumed for an image without
  /// reports and without neighbours.
  double initial_level = -0.9;
};

/// @brief Estimates how much best-effort tasks raise the tail latency of the
/// serving tasks on the same worker, for each pair of images.
///
/// The logarithm of the ratio of tail latency to target is modelled as a base
/// level of the serving image plus, for each neighbour, its load times a
/// coefficient of the pair of images. Recursive least squares with exponential
/// forgetting estimates both from reports of workers with mixed images.
class interference_model {
 public:
  explicit interference_model(interference_options options = {})
      : options_(options) {}

  /// @brief Adds a report of a serving task.
  /// @param log_ratio logarithm of the ratio of its tail latency to its target.
  void Update(std::string_view serving,
              double log_ratio,
              const std::vector<neighbour>& neighbours);

  /// @brief Increase of the log ratio per unit of the neighbour's load; never
  /// negative, and zero for a pair without reports.
  double TailImpact(std::string_view serving,
                    std::string_view neighbour_image) const;

  /// @brief Expected log ratio of the serving image with these neighbours.
  double Predict(std::string_view serving,
                 const std::vector<neighbour>& neighbours) const;

 private:
  struct serving_image {
    /// Index in `coefficients` by neighbour image; index 0 is the base level.
    std::map<std::string, std::size_t, std::less<>> positions;
    /// Estimated coefficients.
    std::vector<double> coefficients;
    /// In row-major order.
    std::vector<double> covariance;
  };

  std::size_t FindOrAddNeighbour(serving_image& image,
                                 std::string_view neighbour_image) const;
  serving_image& FindOrAdd(std::string_view serving);

  const interference_options options_;
  std::map<std::string, serving_image, std::less<>> images_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_INTERFERENCE_MODEL_HPP
