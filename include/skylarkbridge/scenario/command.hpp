#ifndef SKYLARKBRIDGE_SCENARIO_COMMAND_HPP
#define SKYLARKBRIDGE_SCENARIO_COMMAND_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkbridge::scenario {

/// Largest number in a command; bounds what one line can start.
inline constexpr std::int64_t kMaxNumber = 1'000'000;
/// Longest time in a command.
inline constexpr std::chrono::hours kMaxDuration{24};

/// @brief Reads the words of one command line and collects its output.
///
/// After the first error all reads return defaults; Error() tells it. Handlers
/// read all their words and call Done() before they change anything.
class command {
 public:
  explicit command(std::string_view line);

  /// @brief Takes the next words when they are @p words.
  bool Take(std::initializer_list<std::string_view> words);
  /// @brief The next word; an error when there is none.
  std::string Word(std::string_view meaning);
  std::int64_t Number(std::string_view meaning);
  std::uint64_t Unsigned(std::string_view meaning) {
    return static_cast<std::uint64_t>(Number(meaning));
  }
  /// @brief A time such as 500ms, 2s or 5m.
  std::chrono::milliseconds Duration(std::string_view meaning);

  /// @brief Value that follows the word @p name anywhere in the rest.
  std::int64_t Number(std::string_view name, std::int64_t otherwise);
  std::chrono::milliseconds Duration(std::string_view name,
                                     std::chrono::milliseconds otherwise);
  std::string Word(std::string_view name, std::string_view otherwise);
  /// @brief Whether the word stands in the rest.
  bool Flag(std::string_view name);
  /// @brief All remaining words, joined by spaces.
  std::string Rest();

  /// @brief True when every word was read without an error.
  bool Done();
  void Fail(std::string text);
  const std::optional<std::string>& Error() const { return error_; }

  void Print(std::string line) { output_.push_back(std::move(line)); }
  std::vector<std::string>& Output() { return output_; }

 private:
  std::optional<std::string> Named(std::string_view name);
  std::int64_t ToNumber(const std::string& word);
  std::chrono::milliseconds ToDuration(const std::string& word);

  /// Words that are still to be read.
  std::vector<std::string> words_;
  std::optional<std::string> error_;
  std::vector<std::string> output_;
};

}  // namespace skylarkbridge::scenario

#endif  // SKYLARKBRIDGE_SCENARIO_COMMAND_HPP
