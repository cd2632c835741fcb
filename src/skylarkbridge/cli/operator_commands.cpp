#include <gflags/gflags.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>

#include "absl/strings/ascii.h"
#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/cli/commands.hpp"
#include "skylarkbridge/cli/flags.hpp"
#include "skylarkbridge/cli/json_text.hpp"
#include "skylarkbridge/cli/operator_client.hpp"
#include "skylarkbridge/cli/settings.hpp"
#include "skylarkbridge/declaration/json.hpp"

DEFINE_string(operator_address,
              "127.0.0.1:8081",
              "where the daemon serves operators");
DEFINE_string(timeout, "10s", "longest wait for the daemon");
DEFINE_string(base, "", "version on which the new configuration is based");

DECLARE_bool(json);

namespace skylarkbridge::cli {
namespace {

namespace leaf = boost::leaf;
using nlohmann::ordered_json;

constexpr std::size_t kMaxWordLength = 128;

/// Ids and versions go into a path, where other characters would change its
/// meaning.
bool IsPlainWord(const std::string& text) {
  return !text.empty() && text.size() <= kMaxWordLength && text != "." &&
         text != ".." &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return absl::ascii_isalnum(c) || c == '-' || c == '_' || c == '.' ||
                  c == ':';
         });
}

void CheckWord(const std::string& text,
               const std::string& place,
               findings& found) {
  if (!IsPlainWord(text)) {
    found.Add(place,
              "must have 1 to 128 characters of a-z, A-Z, 0-9, -, _, "
              ". and :");
  }
}

/// A call to the daemon, or nothing when the settings have faults.
std::optional<operator_client> MakeClient(const command_context& context,
                                          findings found) {
  operator_client_options options;
  options.address =
      ParseIpAddress(FLAGS_operator_address, "flag --operator_address", found)
          .value_or(ip_address{});
  options.timeout = ParseDuration(FLAGS_timeout, "flag --timeout", found);
  const auto token = context.variables.find(std::string(kTokenVariable));
  if (token == context.variables.end() || token->second.empty()) {
    found.Add("environment " + std::string(kTokenVariable), "is not set");
  } else {
    options.token = token->second;
  }
  if (!found.Empty()) {
    context.errors << Format(found);
    return std::nullopt;
  }
  return operator_client(std::move(options));
}

std::string Text(const ordered_json& object, const std::string& key) {
  const auto it = object.find(key);
  if (it == object.end()) {
    return "";
  }
  return it->is_string() ? it->get<std::string>() : it->dump();
}

void PrintList(const ordered_json& object,
               const std::string& key,
               const std::string& title,
               std::ostream& out) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_array() || it->empty()) {
    return;
  }
  out << title << "\n" << FormatJsonText(*it);
}

/// Prints an error body: code, message, findings, and what a lost publish says
/// about the version that won.
void ReportRefusal(const operator_answer& answer, std::ostream& errors) {
  const auto body = ParseAnswer(answer.body);
  if (!body || !body->is_object()) {
    errors << "refused with status " << answer.status << "\n";
    return;
  }
  errors << "refused with status " << answer.status << " "
         << Text(*body, "code") << ": " << Text(*body, "message") << "\n";
  if (body->contains("version")) {
    errors << "version in effect: " << Text(*body, "version") << "\n";
  }
  PrintList(*body, "changes", "changed since the base:", errors);
  const auto found = body->find("findings");
  if (found != body->end() && found->is_array()) {
    for (const ordered_json& item : *found) {
      if (item.is_object()) {
        errors << Text(item, "place") << ": " << Text(item, "message") << "\n";
      }
    }
  }
}

void PrintAnswer(const operator_answer& answer, std::ostream& out) {
  const auto body = ParseAnswer(answer.body);
  if (FLAGS_json || !body) {
    out << answer.body;
    if (!answer.body.empty() && answer.body.back() != '\n') {
      out << "\n";
    }
    return;
  }
  out << FormatJsonText(*body);
}

/// Calls the daemon and prints the answer. @p show prints a success.
template <class Show>
int CallAndShow(command_context& context,
                const operator_client& client,
                const std::string& method,
                const std::string& path,
                const std::string& body,
                Show show) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(answer, client.Call(method, path, body));
        if (answer.status >= 200 && answer.status < 300) {
          show(answer);
          return kExitDone;
        }
        if (FLAGS_json) {
          PrintAnswer(answer, context.out);
        } else {
          ReportRefusal(answer, context.errors);
        }
        return kExitRefused;
      },
      [&](const failure& found) {
        context.errors << Format(found) << "\n";
        return kExitNoAnswer;
      },
      [&] {
        context.errors << "unknown error\n";
        return kExitNoAnswer;
      });
}

int Show(command_context& context, const std::string& path) {
  const auto client = MakeClient(context, {});
  if (!client) {
    return kExitUsage;
  }
  return CallAndShow(
      context, *client, "GET", path, "",
      [&](const operator_answer& answer) { PrintAnswer(answer, context.out); });
}

/// Acts on the task or worker that the first operand names.
int Act(command_context& context,
        const std::string& operand,
        const std::string& method,
        const std::string& before,
        const std::string& after) {
  const std::string& id = context.operands[0];
  findings found;
  CheckWord(id, operand, found);
  const auto client = MakeClient(context, found);
  if (!client) {
    return kExitUsage;
  }
  return CallAndShow(context, *client, method, before + id + after, "",
                     [&](const operator_answer& answer) {
                       if (answer.body.empty() && !FLAGS_json) {
                         context.out << "accepted\n";
                       }
                       PrintAnswer(answer, context.out);
                     });
}

std::string PublishedVersion(const operator_answer& answer) {
  if (!answer.version.empty()) {
    return answer.version;
  }
  const auto body = ParseAnswer(answer.body);
  return body && body->is_object() ? Text(*body, "version") : "";
}

}  // namespace

int RunPublish(command_context& context) {
  findings found;
  CheckWord(FLAGS_base, "flag --base", found);
  const auto client = MakeClient(context, found);
  if (!client) {
    return kExitUsage;
  }
  const auto config = ReadConfiguration(context.operands[0], context.errors);
  if (!config) {
    return kExitRefused;
  }
  return CallAndShow(
      context, *client, "POST", "/v1/configuration?base=" + FLAGS_base,
      declaration::PrintJson(*config), [&](const operator_answer& answer) {
        if (FLAGS_json) {
          PrintAnswer(answer, context.out);
        } else {
          context.out << "published version " << PublishedVersion(answer)
                      << "\n";
        }
      });
}

int RunStatus(command_context& context) {
  return Show(context, "/v1/status");
}

int RunTasks(command_context& context) {
  return Show(context, "/v1/tasks");
}

int RunTask(command_context& context) {
  return Act(context, "ID", "GET", "/v1/tasks/", "");
}

int RunCancel(command_context& context) {
  return Act(context, "ID", "DELETE", "/v1/tasks/", "");
}

int RunDrain(command_context& context) {
  return Act(context, "WORKER", "POST", "/v1/workers/", "/drain");
}

}  // namespace skylarkbridge::cli
