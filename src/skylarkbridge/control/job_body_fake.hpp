#ifndef SKYLARKBRIDGE_CONTROL_JOB_BODY_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_JOB_BODY_FAKE_HPP

#include <cstdint>
#include <map>
#include <sstream>
#include <string>
#include <string_view>

namespace skylarkbridge::control {

/// @brief Returns the words of the form NAME=VALUE in the body of a job; see
/// platform_fake::DecodeJob.
inline std::map<std::string, std::string> JobSettings(std::string_view body) {
  std::map<std::string, std::string> settings;
  std::istringstream text{std::string(body)};
  for (std::string word; text >> word;) {
    if (const std::size_t separator = word.find('=');
        separator != std::string::npos) {
      settings[word.substr(0, separator)] = word.substr(separator + 1);
    }
  }
  return settings;
}

/// @brief Whether a step of a job is long-running; see
/// platform_fake::DecodeJob.
inline bool IsLongRunning(std::int64_t millicores,
                          const std::map<std::string, std::string>& settings,
                          std::uint32_t step) {
  const auto first = settings.find("lasting_from");
  return millicores < 0 ||
         (first != settings.end() && step >= std::stoul(first->second));
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_JOB_BODY_FAKE_HPP
