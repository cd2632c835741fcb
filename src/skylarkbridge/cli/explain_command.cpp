#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "skylarkbridge/cli/commands.hpp"

namespace skylarkbridge::cli {
namespace {

using nlohmann::json;

/// A log line that concerns the job.
struct log_line {
  double time = 0;
  /// What stood before the JSON: the VM, where a collector adds it.
  std::string source;
  json fields;
};

std::string Text(const json& fields, const char* name) {
  const auto field = fields.find(name);
  return field == fields.end() || !field->is_string()
             ? std::string()
             : field->get<std::string>();
}

/// Events that concern every job of the fleet.
bool ConcernsAll(const std::string& name) {
  return name == "ownership_taken" || name == "ownership_lost" ||
         name == "store_lost" || name == "store_regained" ||
         name == "reads_behind" || name == "thread_behind" ||
         name == "log_lines_dropped";
}

std::string Sentence(const json& fields) {
  static const std::map<std::string, std::string> sentences = {
      {"start_ordered", "ordered to start"},
      {"start_refused", "start refused by the worker"},
      {"start_uncertain", "start had no answer; it is stopped first"},
      {"run_adopted", "taken over as it runs"},
      {"unexpected_run", "runs though it should not; it is stopped"},
      {"run_unmatched", "runs, but its job is not known to the new owner yet"},
      {"end_unmatched", "ended, but its job is not known to the new owner yet"},
      {"end_matched", "the end that was kept is applied or acknowledged"},
      {"run_ended", "ended"},
      {"run_lost", "lost"},
      {"stop_ordered", "ordered to stop"},
      {"restart_delayed", "waits for its restart"},
      {"cancel_delayed", "runs on though its job is cancelled"},
      {"pace_ordered", "ordered to work at a share of its speed, percent"},
      {"worker_quarantined", "failed; its worker gets no work for a while"}};
  static const char* const ends[] = {
      "done",    "failed",           "stopped",
      "expired", "broken by others", "incomplete gang"};
  const std::string name = Text(fields, "name");
  if (name != "scheduling" && name != "cancel_delayed") {
    std::string text = name;
    for (const char* const field :
         {"method", "answer", "state", "reason", "queue", "topic", "result",
          "epoch", "owner", "version", "lines", "age_ms", "failed", "thread",
          "delay_ms"}) {
      if (const std::string value = Text(fields, field); !value.empty()) {
        absl::StrAppend(&text, " ", field, "=", value);
      }
    }
    return text;
  }
  const std::string event = name == "scheduling" ? Text(fields, "what") : name;
  const auto sentence = sentences.find(event);
  std::string detail = Text(fields, "detail");
  if (event == "run_ended" && detail.size() == 1 && detail[0] >= '0' &&
      detail[0] <= '5') {
    detail = ends[detail[0] - '0'];
  }
  return absl::StrCat("run ", Text(fields, "run"), " on ",
                      Text(fields, "worker"), ": ",
                      sentence == sentences.end() ? event : sentence->second,
                      detail.empty() ? "" : ", ", detail);
}

}  // namespace

int RunExplain(command_context& context) {
  const std::string& job = context.operands.front();
  std::vector<log_line> lines;
  bool found = false;
  for (std::string text; std::getline(std::cin, text);) {
    const std::size_t start = text.find('{');
    if (start == std::string::npos) {
      continue;
    }
    json fields = json::parse(text.substr(start), nullptr, false);
    if (!fields.is_object() || !fields.contains("time") ||
        !fields["time"].is_number()) {
      continue;
    }
    const bool own = Text(fields, "job") == job ||
                     Text(fields, "run").starts_with(job + ".");
    found |= own;
    if (own || ConcernsAll(Text(fields, "name"))) {
      lines.push_back(
          {fields["time"], text.substr(0, start), std::move(fields)});
    }
  }
  if (!found) {
    context.errors << "no line names the job " << job << "\n";
    return kExitRefused;
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const log_line& left, const log_line& right) {
                     return left.time < right.time;
                   });
  for (const log_line& line : lines) {
    context.out << absl::StrFormat("%.3f ", line.time) << line.source
                << Sentence(line.fields) << "\n";
  }
  return kExitDone;
}

}  // namespace skylarkbridge::cli
