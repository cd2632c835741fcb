#ifndef SKYLARKBRIDGE_SCHEDULING_SLOWDOWN_MODEL_HPP
#define SKYLARKBRIDGE_SCHEDULING_SLOWDOWN_MODEL_HPP

#include <array>
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
struct harm_estimate {
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
    read.Harm(std::uint32_t{}, std::uint32_t{}, double{})
    } -> std::same_as<harm_estimate>;
};

/// @brief Learns pairwise slowdowns from windows.
///
/// One Kalman filter over the latency of each service alone, per level of load
/// and interpolated between levels, and over two coefficients per pair of
/// service and kind, linear in load. Only covariances within a pair are kept.
/// The filter gives the uncertainty, and decides whether an error is the fault
/// of a pair or of the baseline; windows without batch work teach the baseline
/// alone. Process noise makes old windows lose weight.
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

  harm_estimate Harm(std::uint32_t service,
                     std::uint32_t kind,
                     double load) const;

 private:
  static constexpr std::size_t kLevels = 26;
  struct baseline {
    double latency = 0;
    /// Of the relative error of the latency; 0 while nothing is known.
    double variance = 0;
  };
  struct service_entry {
    std::array<baseline, kLevels> levels{};
    double mean_load = 0;
  };
  /// Harm is a + b * (load / mean load - 1).
  struct pair_entry {
    double a = 0.03;
    double b = 0.0;
    double aa = 0.01;
    double ab = 0.0;
    double bb = 0.01;
  };

  static double Relative(const service_entry& service, double load);
  /// @brief Fills an unknown level from the nearest known one, or from a
  /// sample.
  static baseline& Level(service_entry& service,
                         std::size_t level,
                         double sample);
  pair_entry& Pair(std::uint32_t service, std::uint32_t kind);

  std::vector<service_entry> services_;
  /// By kind, then by service; grown when a pair is first seen.
  std::vector<std::vector<pair_entry>> pairs_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_SLOWDOWN_MODEL_HPP
