#ifndef SKYLARKBRIDGE_SCHEDULING_SLOWDOWN_MODEL_HPP
#define SKYLARKBRIDGE_SCHEDULING_SLOWDOWN_MODEL_HPP

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace skylarkbridge::scheduling {

/// @brief Amount of one kind beside a service in a window: tasks, weighted by
/// the part of the window, by throttling and by the size of the worker.
struct exposure {
  std::uint32_t kind = 0;
  double amount = 0;
};

/// @brief Expected slowdown that one task of a kind adds, as part of the
/// service's own latency (0.1 means 10%). The mean may be slightly negative:
/// cut off at zero, the errors of many harmless tasks would add up.
struct slowdown_estimate {
  double mean = 0;
  double deviation = 0;
};

/// @brief Estimator of the slowdown of a service beside batch kinds. Services
/// and kinds are given by index; `load` is in requests per second.
template <class T>
concept slowdown_estimator = requires(T& model,
                                      const T& read,
                                      std::span<const exposure> beside) {
  {
    model.Learn(std::uint32_t{}, double{}, double{}, beside)
    } -> std::same_as<std::optional<double>>;
  {
    read.EstimateSlowdown(std::uint32_t{}, std::uint32_t{}, double{})
    } -> std::same_as<slowdown_estimate>;
};

/// @brief Learns pairwise slowdowns from windows.
///
/// One extended Kalman filter per service. Its state is the latency of the
/// service alone at several levels of load, interpolated between levels, and
/// three coefficients per kind beside it, quadratic in load. The full
/// covariance is kept: whether a latency is high by itself or by what runs
/// beside it can only be told from many windows together. The filter gives the
/// uncertainty, and process noise makes old windows lose weight.
class slowdown_model {
 public:
  /// @brief Takes one window: p99 in any fixed unit, load in requests per
  /// second.
  /// @return the slowdown as a factor of the service alone, once a baseline is
  /// known.
  std::optional<double> Learn(std::uint32_t service,
                              double p99,
                              double load,
                              std::span<const exposure> beside);

  slowdown_estimate EstimateSlowdown(std::uint32_t service,
                     std::uint32_t kind,
                     double load) const;

 private:
  struct service_entry {
    /// Latency that the states of the levels are relative to; 0 when unknown.
    double scale = 0;
    /// Mean of the first windows, then fixed: the coefficients depend on it.
    double mean_load = 0;
    int windows = 0;
    /// First the levels, then three coefficients per kind: the harm is
    /// a + b * r + c * r^2 with r = load / mean load - 1.
    std::vector<double> state;
    /// Rows of length kMostStates.
    std::vector<double> covariance;
    /// Position in the state by kind; 0 when the kind was never seen beside.
    std::vector<std::size_t> position;
  };
  /// @brief One non-zero partial derivative of the expected latency.
  struct derivative {
    std::size_t position = 0;
    double value = 0;
  };

  static double Relative(const service_entry& service, double load);
  static void Begin(service_entry& service, double latency);
  /// @return 0 when the service has too many kinds already.
  static std::size_t Position(service_entry& service, std::uint32_t kind);
  static void Correct(service_entry& service,
                      std::span<const derivative> gradient,
                      double error,
                      double noise);

  std::vector<service_entry> services_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_SLOWDOWN_MODEL_HPP
