#include "skylarkbridge/cli/commands.hpp"
#include "skylarkbridge/cli/subcommand.hpp"

namespace skylarkbridge::cli {

const std::vector<subcommand>& Subcommands() {
  static const std::vector<std::string_view> client_flags = {"operator_address",
                                                             "timeout", "json"};
  static const std::vector<subcommand> table = {
      {.name = "check",
       .summary = "Check a configuration file and report all findings.",
       .operands = {"FILE"},
       .examples = {"skylarkbridge check fleet.json"},
       .run = RunCheck},
      {.name = "diff",
       .summary = "Say in words what differs between two configurations.",
       .operands = {"OLD", "NEW"},
       .flags = {"json"},
       .examples = {"skylarkbridge diff fleet.json fleet.new.json",
                    "skylarkbridge diff --json fleet.json fleet.new.json"},
       .run = RunDiff},
      {.name = "print",
       .summary = "Print a configuration in canonical form.",
       .operands = {"FILE"},
       .examples = {"skylarkbridge print draft.json > fleet.json"},
       .run = RunPrint},
      {.name = "publish",
       .summary = "Publish a configuration that is based on a version.",
       .operands = {"FILE"},
       .flags = {"base", "operator_address", "timeout", "json"},
       .examples = {"skylarkbridge publish --base 41 fleet.json",
                    "skylarkbridge publish --operator_address 10.0.0.4:8081 "
                    "--base 41 fleet.json"},
       .run = RunPublish},
      {.name = "status",
       .summary = "Show the state of a daemon.",
       .flags = client_flags,
       .examples = {"skylarkbridge status", "skylarkbridge status --json"},
       .run = RunStatus},
      {.name = "tasks",
       .summary = "List the open tasks.",
       .flags = client_flags,
       .examples = {"skylarkbridge tasks", "skylarkbridge tasks --json"},
       .run = RunTasks},
      {.name = "task",
       .summary = "Show one task.",
       .operands = {"ID"},
       .flags = client_flags,
       .examples = {"skylarkbridge task 4711"},
       .run = RunTask},
      {.name = "cancel",
       .summary = "Cancel a task.",
       .operands = {"ID"},
       .flags = client_flags,
       .examples = {"skylarkbridge cancel 4711"},
       .run = RunCancel},
      {.name = "drain",
       .summary = "Give a worker no new work and let it finish what it runs.",
       .operands = {"WORKER"},
       .flags = client_flags,
       .examples = {"skylarkbridge drain 17"},
       .run = RunDrain},
      {.name = "demo",
       .summary = "Run a daemon and stand-ins of the platform on loopback.",
       .flags = {"workers", "callers", "requests", "service_time", "keep"},
       .examples = {"skylarkbridge demo",
                    "skylarkbridge demo --workers 8 --requests 10000",
                    "skylarkbridge demo --keep"},
       .run = RunDemo},
  };
  return table;
}

}  // namespace skylarkbridge::cli
