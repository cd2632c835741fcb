#ifndef SKYLARKBRIDGE_SCHEDULING_SLOWDOWN_MODEL_HPP
#define SKYLARKBRIDGE_SCHEDULING_SLOWDOWN_MODEL_HPP

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace skylarkbridge::scheduling {

/// @brief Exposure of the services on a worker to the tasks of one kind during
/// a window.
struct exposure {
  std::uint32_t kind = 0;
  /// Number of tasks, weighted by the fraction of the window in which they ran,
  /// by throttling and by the size of the worker.
  double amount = 0;
};

/// @brief Expected slowdown that one task of a kind adds, relative to the
/// latency of the service without batch tasks (0.1 means 10%). The mean may be
/// slightly negative: if it were clamped to zero, the estimation errors of many
/// harmless tasks would add up.
struct slowdown_estimate {
  double mean = 0;
  double deviation = 0;
};

/// @brief Estimates how much tasks of batch kinds slow a service on the same
/// worker down. Services and kinds are given by index, load in requests per
/// second.
template <class T>
concept slowdown_estimator = requires(T& model,
                                      const T& read,
                                      std::span<const exposure> exposures) {
  {
    model.Learn(std::uint32_t{}, double{}, double{}, exposures)
    } -> std::same_as<std::optional<double>>;
  {
    read.EstimateSlowdown(std::uint32_t{}, std::uint32_t{}, double{})
    } -> std::same_as<slowdown_estimate>;
};

/// @brief Learns the slowdown of each service by each kind from windows.
///
/// One extended Kalman filter per service. Its state is the latency of the
/// service without batch tasks at several levels of load, interpolated between
/// levels, and for each kind three coefficients of a quadratic function of
/// load. The full covariance is kept, because only many windows together show
/// whether the service or the tasks on the same worker cause a high latency.
/// The filter also yields the uncertainty, and process noise reduces the weight
/// of old windows.
class slowdown_model {
 public:
  /// @brief Updates the model with one window.
  /// @param p99 in any unit, which must be the same for every window.
  /// @param load in requests per second.
  /// @return the slowdown as a factor of the latency without batch tasks; empty
  /// if @p p99 or @p load is not a valid measurement.
  std::optional<double> Learn(std::uint32_t service,
                              double p99,
                              double load,
                              std::span<const exposure> exposures);

  /// @return the expected slowdown by one task of the kind; the prior if the
  /// pair of service and kind is unknown.
  slowdown_estimate EstimateSlowdown(std::uint32_t service,
                                     std::uint32_t kind,
                                     double load) const;

 private:
  struct service_entry {
    /// Latency that the level states are relative to; 0 before the first
    /// window.
    double scale = 0;
    /// Mean over the first windows, then fixed because the coefficients are
    /// relative to it.
    double mean_load = 0;
    int windows = 0;
    /// First the levels, then three coefficients per kind: the slowdown is
    /// a + b * r + c * r^2 with r = load / mean_load - 1.
    std::vector<double> state;
    /// Row-major matrix; every row has space for the largest number of states.
    std::vector<double> covariance;
    /// Index of the first coefficient in `state`, by kind; 0 if the kind has
    /// not run on the same worker yet.
    std::vector<std::size_t> position;
  };
  /// @brief Non-zero value that belongs to one state, such as a partial
  /// derivative of the expected latency.
  struct state_term {
    std::size_t position = 0;
    double value = 0;
  };

  /// @brief Load relative to the mean load minus 1, limited to [-1, 3].
  static double RelativeLoad(const service_entry& service, double load);
  /// @brief Initializes the levels; @p latency is without batch tasks.
  static void Initialize(service_entry& service, double latency);
  /// @brief Finds the first coefficient of a kind; adds the kind if needed.
  /// @return 0 if the service already has the largest number of kinds.
  static std::size_t CoefficientPosition(service_entry& service,
                                         std::uint32_t kind);
  /// @brief Measurement update of the Kalman filter. @p error is the observed
  /// minus the expected latency, @p noise the variance of the measurement.
  static void UpdateState(service_entry& service,
                          std::span<const state_term> gradient,
                          double error,
                          double noise);

  std::vector<service_entry> services_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_SLOWDOWN_MODEL_HPP
