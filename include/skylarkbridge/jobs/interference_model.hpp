#ifndef SKYLARKBRIDGE_JOBS_INTERFERENCE_MODEL_HPP
#define SKYLARKBRIDGE_JOBS_INTERFERENCE_MODEL_HPP

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
  /// Share of an error by which the estimates of the neighbours change.
  double learning_rate = 0.35;
  /// Share by which the level without neighbours follows.
  double level_rate = 0.05;
  /// Largest harm of one neighbour; the logarithm of the tail over its target.
  double max_harm = 4;
  /// Expected level without neighbours before anything was seen.
  double first_level = -0.9;
};

/// @brief Learns how much tasks of one image raise the tail latency of tasks of
/// another that serve beside them.
///
/// The tail, as the logarithm of its ratio to the target, is modelled as a level
/// of the serving image and a sum over the neighbours of their amount times a
/// harm for the pair of images. Errors are shared by normalised least mean
/// squares, so a report with several neighbours teaches about each.
class interference_model {
 public:
  explicit interference_model(interference_options options = {})
      : options_(options) {}

  /// @brief A report of a serving task.
  /// @param ratio logarithm of its tail over its target.
  void Learn(std::string_view serving,
             double ratio,
             const std::vector<neighbour>& neighbours);

  /// @brief Expected rise of the ratio by one unit of the neighbour.
  double Harm(std::string_view serving, std::string_view neighbour_image) const;

 private:
  struct serving_image {
    double level = 0;
    std::map<std::string, double, std::less<>> harms;
  };

  const interference_options options_;
  std::map<std::string, serving_image, std::less<>> images_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_INTERFERENCE_MODEL_HPP
