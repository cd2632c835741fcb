#ifndef SKYLARKBRIDGE_CONTROL_JOB_BODY_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_JOB_BODY_FAKE_HPP

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

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_JOB_BODY_FAKE_HPP
