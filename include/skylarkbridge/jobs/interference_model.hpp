#ifndef SKYLARKBRIDGE_JOBS_INTERFERENCE_MODEL_HPP
#define SKYLARKBRIDGE_JOBS_INTERFERENCE_MODEL_HPP

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkbridge::jobs {

/// @brief A best-effort task beside a serving one.
struct neighbour {
  std::string_view image;
  /// Processor time in use, as a share of a reference task on a reference
  /// worker.
  double amount = 0;
};

struct interference_options {
  /// Weight that a report keeps with each later one of the same image.
  double memory = 0.999;
  /// Uncertainty of an image that was not seen beside yet.
  double first_variance = 0.5;
  /// Largest uncertainty; bounds the growth by forgetting.
  double max_variance = 2;
  /// Expected level without neighbours before anything was seen.
  double first_level = -0.9;
};

/// @brief Learns how much tasks of one image raise the tail latency of tasks of
/// another that serve beside them.
///
/// The tail, as the logarithm of its ratio to the target, is modelled as a
/// level of the serving image and a sum over the neighbours of their amount
/// times a harm for the pair of images. Recursive least squares with forgetting
/// finds both from reports in which several images run side by side.
class interference_model {
 public:
  explicit interference_model(interference_options options = {})
      : options_(options) {}

  /// @brief A report of a serving task.
  /// @param ratio logarithm of its tail over its target.
  void Learn(std::string_view serving,
             double ratio,
             const std::vector<neighbour>& neighbours);

  /// @brief Expected rise of the ratio by one unit of the neighbour; zero for
  /// a pair that was not seen.
  double Harm(std::string_view serving, std::string_view neighbour_image) const;

  /// @brief Expected ratio beside the neighbours.
  double Expected(std::string_view serving,
                  const std::vector<neighbour>& neighbours) const;

 private:
  struct serving_image {
    /// Position of an image beside in the state; the level stands first.
    std::map<std::string, std::size_t, std::less<>> positions;
    std::vector<double> state;
    /// Row by row.
    std::vector<double> covariance;
  };

  std::size_t Position(serving_image& image, std::string_view beside) const;
  serving_image& Entry(std::string_view serving);

  const interference_options options_;
  std::map<std::string, serving_image, std::less<>> images_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_INTERFERENCE_MODEL_HPP
