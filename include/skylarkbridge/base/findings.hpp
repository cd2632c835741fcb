#ifndef SKYLARKBRIDGE_BASE_FINDINGS_HPP
#define SKYLARKBRIDGE_BASE_FINDINGS_HPP

#include <string>
#include <string_view>
#include <vector>

namespace skylarkbridge {

/// @brief One fault of an input, with the place where it stands.
struct finding {
  /// For example "flag --peer_address[2]" or "services[0].claim.minimum".
  std::string place;
  /// For example "port 70000 is above 65535".
  std::string message;

  bool operator==(const finding&) const = default;
};

/// @brief Collects all faults of an input, so that they are reported together.
class findings {
 public:
  void Add(std::string_view place, std::string_view message);
  void Append(const findings& other);

  bool Empty() const { return items_.empty(); }
  const std::vector<finding>& Items() const { return items_; }

 private:
  std::vector<finding> items_;
};

/// @brief One line "place: message" per finding, each ended by a newline.
std::string Format(const findings& all);

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_FINDINGS_HPP
