#include <gflags/gflags.h>

#include <optional>
#include <ostream>
#include <string>

#include "absl/strings/str_cat.h"
#include "platform/settings.hpp"
#include "skylarkbridge/base/whole_file.hpp"
#include "skylarkbridge/cli/commands.hpp"
#include "skylarkbridge/service/fleet_service.hpp"

DEFINE_string(boot, "", "Settings file that the platform provides (JSON).");
DEFINE_bool(check_only,
            false,
            "Check the settings file, report all findings, and end.");
DEFINE_uint32(metrics_port,
              9100,
              "Port on the VM's address that serves metrics; 0 for none.");

namespace skylarkbridge::cli {
int RunFleet(command_context& context) {
  findings found;
  platform::settings settings;
  if (FLAGS_boot.empty()) {
    found.Add("flag --boot", "is missing");
  } else {
    const std::optional<std::string> text = ReadWholeFile(FLAGS_boot);
    if (text) {
      settings = platform::ParseSettings(*text, found);
    } else {
      found.Add("flag --boot", absl::StrCat("can't read ", FLAGS_boot));
    }
  }
  if (!found.Empty()) {
    context.errors << Format(found);
    return kExitUsage;
  }
  if (FLAGS_check_only) {
    context.out << "settings of " << settings.vm << ": no findings\n";
    return kExitDone;
  }
  service::fleet_service_options options{.settings = settings,
                                         .settings_file = FLAGS_boot};
  if (FLAGS_metrics_port != 0) {
    options.metrics_address =
        absl::StrCat(settings.ip, ":", FLAGS_metrics_port);
  }
  return service::ServeUntilTerminated(std::move(options)) ? kExitDone
                                                           : kExitRefused;
}

}  // namespace skylarkbridge::cli
