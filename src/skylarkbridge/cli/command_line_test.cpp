#include <gflags/gflags.h>
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "skylarkbridge/cli/operator_server_fake.hpp"
#include "skylarkbridge/cli/settings.hpp"
#include "skylarkbridge/cli/subcommand.hpp"
#include "skylarkbridge/declaration/declare.hpp"
#include "skylarkbridge/declaration/json.hpp"

namespace skylarkbridge::cli {
namespace {

using declaration::Declare;
using declaration::service;
using declaration::team;

constexpr char kToken[] = "0123456789abcdef";

struct outcome {
  int code = 0;
  std::string out;
  std::string errors;
};

outcome Execute(const std::vector<std::string>& arguments,
                const environment& variables = {{"SKYLARKBRIDGE_TOKEN",
                                                 kToken}},
                std::span<const subcommand> table = Subcommands()) {
  std::ostringstream out;
  std::ostringstream errors;
  const int code = RunCommandLine(arguments, variables, table, out, errors);
  return {code, out.str(), errors.str()};
}

std::string WriteFile(const std::string& name, const std::string& text) {
  std::string path = testing::TempDir() + "skylarkbridge_" + name;
  std::ofstream(path) << text;
  return path;
}

declaration::configuration Sample(std::int64_t cap) {
  return Declare(team{.name = "shop"}, service{.name = "despacho",
                                               .team = "shop",
                                               .claim = {.cap_permille = cap}});
}

TEST(CommandLineTest, EverySubcommandHasHelpWithExamples) {
  for (const subcommand& command : Subcommands()) {
    const std::string name(command.name);
    const outcome help = Execute({name, "--help"});
    EXPECT_EQ(help.code, kExitDone);
    EXPECT_NE(help.out.find("Examples:\n  skylarkbridge " + name),
              std::string::npos)
        << help.out;
    for (const std::string_view flag : command.flags) {
      gflags::CommandLineFlagInfo info;
      EXPECT_TRUE(
          gflags::GetCommandLineFlagInfo(std::string(flag).c_str(), &info))
          << flag;
    }
  }
}

// A mistyped command must not do something else.
TEST(CommandLineTest, ReportsAllFaultsTogether) {
  EXPECT_EQ(Execute({}).code, kExitUsage);
  const outcome unknown = Execute({"pubish"});
  EXPECT_EQ(unknown.code, kExitUsage);
  EXPECT_EQ(unknown.errors.substr(0, 28), "unknown subcommand \"pubish\"\n");

  const outcome faults =
      Execute({"demo", "extra", "--worker=3", "--callers", "many", "--keep",
               "--keep", "--requests"},
              {{"SKYLARKBRIDGE_WORKRS", "3"}, {"SKYLARKBRIDGE_WORKERS", "x"}});
  EXPECT_EQ(faults.code, kExitUsage);
  EXPECT_EQ(faults.errors,
            "environment SKYLARKBRIDGE_WORKERS: \"x\" is not a value of type "
            "uint64\n"
            "environment SKYLARKBRIDGE_WORKRS: no such setting\n"
            "flag --worker: not a flag of \"demo\"\n"
            "flag --callers: \"many\" is not a value of type uint64\n"
            "flag --keep: is given twice\n"
            "flag --requests: needs a value\n"
            "arguments: expected none, found 1\n"
            "\"skylarkbridge demo --help\" shows the usage.\n");
}

// Secrets must not reach a terminal or a log.
TEST(CommandLineTest, ShowsSettingsWithoutTheToken) {
  const outcome shown = Execute({"publish", "--base", "7", "--show_settings"},
                                {{"SKYLARKBRIDGE_TOKEN", kToken},
                                 {"SKYLARKBRIDGE_TIMEOUT", "3s"},
                                 {"SKYLARKBRIDGE_BASE", "6"}});
  EXPECT_EQ(shown.code, kExitDone);
  EXPECT_EQ(shown.out,
            "--base=7  (flag)\n"
            "--operator_address=127.0.0.1:8081  (default)\n"
            "--timeout=3s  (environment)\n"
            "--json=false  (default)\n"
            "SKYLARKBRIDGE_TOKEN=(hidden)  (environment)\n");
}

TEST(FileCommandsTest, CheckReportsFindingsWithFileAndPlace) {
  const std::string good =
      WriteFile("good.json", declaration::PrintJson(Sample(600)));
  EXPECT_EQ(Execute({"check", good}).out,
            "no findings: 1 teams, 1 services, 0 batch kinds\n");
  const std::string bad = WriteFile("bad.json", R"({"teams": [{}], "x": 1})");
  const outcome found = Execute({"check", bad});
  EXPECT_EQ(found.code, kExitRefused);
  EXPECT_EQ(found.errors,
            bad + ": teams[0].name: is missing\n" + bad + ": x: unknown key\n");
  EXPECT_EQ(Execute({"check", "/nonexistent"}).errors,
            "/nonexistent: No such file or directory\n");
}

TEST(FileCommandsTest, DiffAndPrint) {
  const std::string before =
      WriteFile("before.json", declaration::PrintJson(Sample(600)));
  const std::string after =
      WriteFile("after.json", declaration::PrintJson(Sample(700)));
  EXPECT_EQ(Execute({"diff", before, after}).out,
            "service despacho: cap 600 -> 700 permille\n");
  EXPECT_EQ(Execute({"diff", before, before}).out, "no differences\n");
  EXPECT_NE(Execute({"diff", "--json", before, after})
                .out.find("\"field\": \"claim.cap_permille\""),
            std::string::npos);
  EXPECT_EQ(Execute({"print", after}).out, declaration::PrintJson(Sample(700)));
}

TEST(OperatorCommandsTest, PublishSendsTheCanonicalForm) {
  operator_server_fake daemon(201, R"({"version": "42"})", "42");
  const std::string file =
      WriteFile("publish.json", declaration::PrintJson(Sample(600)));
  const outcome done = Execute({"publish", "--base", "41", file,
                                "--operator_address", daemon.Address()});
  EXPECT_EQ(done.code, kExitDone) << done.errors;
  EXPECT_EQ(done.out, "published version 42\n");
  const auto& calls = daemon.Stop();
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(calls[0].target, "/v1/configuration?base=41");
  EXPECT_EQ(calls[0].authorization, std::string("Bearer ") + kToken);
  EXPECT_EQ(calls[0].body, declaration::PrintJson(Sample(600)));
}

// The loser of two publishes must learn what changed in between.
TEST(OperatorCommandsTest, PublishReportsAConflictAndFindings) {
  const std::string file =
      WriteFile("conflict.json", declaration::PrintJson(Sample(600)));
  operator_server_fake conflict(
      409, R"({"code": "conflict", "message": "Version 42 came first.",)"
           R"( "version": "42", "changes": ["service a: added"]})");
  const outcome lost = Execute({"publish", "--base=41", file,
                                "--operator_address=" + conflict.Address()});
  EXPECT_EQ(lost.code, kExitRefused);
  EXPECT_EQ(lost.errors,
            "refused with status 409 conflict: Version 42 came first.\n"
            "version in effect: 42\nchanged since the base:\n"
            "- service a: added\n");

  operator_server_fake invalid(
      422, R"({"code": "invalid", "message": "Has findings.", "findings":)"
           R"( [{"place": "services[0].name", "message": "is empty"}]})");
  const outcome refused = Execute({"publish", "--base=41", file,
                                   "--operator_address=" + invalid.Address()});
  EXPECT_EQ(refused.code, kExitRefused);
  EXPECT_EQ(refused.errors,
            "refused with status 422 invalid: Has findings.\n"
            "services[0].name: is empty\n");
}

TEST(OperatorCommandsTest, ShowsAnswersAsTextOrJson) {
  const std::string body =
      R"({"vm":3,"tasks":[{"id":1,"kind":"match"},{"id":12}],"peers":[]})";
  operator_server_fake daemon(200, body);
  EXPECT_EQ(Execute({"status", "--operator_address", daemon.Address()}).out,
            "vm: 3\ntasks:\n  id  kind\n  1   match\n  12  -\npeers: none\n");
  EXPECT_EQ(
      Execute({"tasks", "--json", "--operator_address", daemon.Address()}).out,
      body + "\n");
}

TEST(OperatorCommandsTest, TaskCancelAndDrainNameTheirTarget) {
  operator_server_fake daemon(202, "");
  for (const std::vector<std::string>& command :
       {std::vector<std::string>{"task", "7"},
        {"cancel", "7"},
        {"drain", "9"}}) {
    const outcome done = Execute(
        {command[0], command[1], "--operator_address", daemon.Address()});
    EXPECT_EQ(done.code, kExitDone) << done.errors;
    EXPECT_EQ(done.out, "accepted\n");
  }
  const auto& calls = daemon.Stop();
  ASSERT_EQ(calls.size(), 3u);
  EXPECT_EQ(calls[0].method + calls[0].target, "GET/v1/tasks/7");
  EXPECT_EQ(calls[1].method + calls[1].target, "DELETE/v1/tasks/7");
  EXPECT_EQ(calls[2].method + calls[2].target, "POST/v1/workers/9/drain");
}

// An id must not reach another path, and a missing token must be named.
TEST(OperatorCommandsTest, RefusesBadIdsAndMissingTokens) {
  const outcome bad = Execute({"cancel", "../workers/9"}, environment{});
  EXPECT_EQ(bad.code, kExitUsage);
  EXPECT_EQ(bad.errors,
            "ID: must have 1 to 128 characters of a-z, A-Z, 0-9, -, _, . and "
            ":\n"
            "environment SKYLARKBRIDGE_TOKEN: is not set\n");
}

// A script must be able to tell a refusal from a missing answer.
TEST(OperatorCommandsTest, ReportsADaemonThatDoesNotAnswer) {
  std::string address;
  {
    operator_server_fake gone(200, "");
    address = gone.Address();
  }
  const outcome none = Execute({"status", "--operator_address", address});
  EXPECT_EQ(none.code, kExitNoAnswer);
  EXPECT_EQ(none.errors.find("GET " + address + "/v1/status: no answer"), 0u);
}

// Serves as the `serve` subcommand until the daemon has one.
int PrintSettings(command_context& context) {
  findings found;
  const auto settings = ReadDaemonSettings(context.variables, found);
  context.errors << Format(found);
  if (settings) {
    context.out << settings->peer_addresses.size() << " peers, drain "
                << settings->drain_time.count() << " ms";
  }
  return settings ? kExitDone : kExitUsage;
}

const subcommand kServe[] = {
    {.name = "serve", .flags = DaemonFlags(), .run = PrintSettings}};

TEST(SettingsTest, ReadsFlagsAndEnvironment) {
  const outcome read = Execute(
      {"serve", "--entry_vm=1", "--data_centre=2", "--region=3",
       "--peer_address=10.0.0.1:8082, 10.0.0.2:8082"},
      {{"SKYLARKBRIDGE_TOKEN", kToken}, {"SKYLARKBRIDGE_DRAIN_TIME", "1500ms"}},
      kServe);
  EXPECT_EQ(read.errors, "");
  EXPECT_EQ(read.out, "2 peers, drain 1500 ms");
}

// A daemon must not start with settings that fail later under load.
TEST(SettingsTest, ReportsAllFindingsAtOnce) {
  const outcome bad =
      Execute({"serve", "--data_centre=2", "--region=3",
               "--peer_address=10.0.0.1:1,10.0.0.1:1,10.0.0.3:70000",
               "--operators_address=127.0.0.1:8080", "--log_address=log:1",
               "--caller_threads=0", "--drain_time=11m"},
              {{"SKYLARKBRIDGE_TOKEN", "short"}}, kServe);
  EXPECT_EQ(bad.code, kExitUsage);
  EXPECT_EQ(bad.errors,
            "flag --peer_address[2]: port 70000 is above 65535\n"
            "flag --log_address: \"log\" is not an IPv4 number\n"
            "flag --entry_vm: is not set\n"
            "flag --operators_address: 127.0.0.1:8080 is used twice\n"
            "flag --peer_address[1]: 10.0.0.1:1 is listed twice\n"
            "flag --caller_threads: 0 is not between 1 and 4096\n"
            "flag --drain_time: 660000 ms is above 600000 ms\n"
            "environment SKYLARKBRIDGE_TOKEN: is shorter than 16 "
            "characters\n");
}

}  // namespace
}  // namespace skylarkbridge::cli
