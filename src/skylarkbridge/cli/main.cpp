#include <glog/logging.h>
#include <unistd.h>

#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkbridge/cli/subcommand.hpp"

namespace {

skylarkbridge::cli::environment ReadEnvironment() {
  skylarkbridge::cli::environment variables;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string_view text(*entry);
    if (const std::size_t equals = text.find('=');
        equals != std::string_view::npos) {
      variables.emplace(text.substr(0, equals), text.substr(equals + 1));
    }
  }
  return variables;
}

}  // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  return skylarkbridge::cli::RunCommandLine(
      std::vector<std::string>(argv + 1, argv + argc), ReadEnvironment(),
      skylarkbridge::cli::Subcommands(), std::cout, std::cerr);
}
