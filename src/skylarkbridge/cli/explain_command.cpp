#include <algorithm>
#include <cstddef>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "skylarkbridge/cli/commands.hpp"

namespace skylarkbridge::cli {
namespace {

using nlohmann::json;

/// What a log line tells of the job or the task.
struct explanation {
  double time = 0;
  /// What stood before the JSON: the VM, where a collector adds it.
  std::string source;
  std::string sentence;
};

std::string Text(const json& fields, const char* name) {
  const auto field = fields.find(name);
  return field == fields.end() || !field->is_string()
             ? std::string()
             : field->get<std::string>();
}

/// The job that the command is asked about, or one of its tasks.
class explained_subject {
 public:
  explicit explained_subject(std::string text)
      : text_(std::move(text)), job_(text_.substr(0, text_.find('.'))) {}

  const std::string& Text() const { return text_; }
  /// @param run empty or "JOB.OCCURRENCE.STEP.INDEX/RUN", where "/RUN" may be
  /// missing.
  bool HasRun(std::string_view run) const {
    return run.starts_with(text_) &&
           (run.size() == text_.size() || run[text_.size()] == '.' ||
            run[text_.size()] == '/');
  }
  bool IsOfJob(std::string_view job) const { return job == job_; }
  bool IsJob(std::string_view job) const { return job == text_; }

 private:
  const std::string text_;
  const std::string job_;
};

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

/// The sentences on the waiting tasks of the subject in a list of several.
std::vector<std::string> QueueSentences(const json& fields,
                                        const explained_subject& subject) {
  std::vector<std::string> sentences;
  for (const absl::string_view restart :
       absl::StrSplit(Text(fields, "restarts"), "; ")) {
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(restart, absl::MaxSplits(' ', 1));
    if (subject.HasRun(parts.first)) {
      sentences.push_back(
          absl::StrCat("run ", parts.first, ": waits for its restart in cell ",
                       Text(fields, "cell"), ", ", parts.second));
    }
  }
  return sentences;
}

/// What the line tells of the subject.
/// @param found set if the line names the subject.
std::vector<std::string> Sentences(const json& fields,
                                   const explained_subject& subject,
                                   bool& found) {
  const std::string name = Text(fields, "name");
  if (name == "restart_queue") {
    std::vector<std::string> sentences = QueueSentences(fields, subject);
    found |= !sentences.empty();
    return sentences;
  }
  const std::string job = Text(fields, "job");
  const bool own = subject.IsJob(job) || subject.HasRun(Text(fields, "run"));
  found |= own;
  if (own || subject.IsOfJob(job) || ConcernsAll(name)) {
    return {Sentence(fields)};
  }
  return {};
}

}  // namespace

int RunExplain(command_context& context) {
  const explained_subject subject(context.operands.front());
  std::vector<explanation> explanations;
  bool found = false;
  for (std::string text; std::getline(std::cin, text);) {
    const std::size_t start = text.find('{');
    if (start == std::string::npos) {
      continue;
    }
    const json fields = json::parse(text.substr(start), nullptr, false);
    if (!fields.is_object() || !fields.contains("time") ||
        !fields["time"].is_number()) {
      continue;
    }
    for (std::string& sentence : Sentences(fields, subject, found)) {
      explanations.push_back(
          {fields["time"], text.substr(0, start), std::move(sentence)});
    }
  }
  if (!found) {
    context.errors << "no line names the job or task " << subject.Text()
                   << "\n";
    return kExitRefused;
  }
  std::stable_sort(explanations.begin(), explanations.end(),
                   [](const explanation& left, const explanation& right) {
                     return left.time < right.time;
                   });
  for (const explanation& each : explanations) {
    context.out << absl::StrFormat("%.3f ", each.time) << each.source
                << each.sentence << "\n";
  }
  return kExitDone;
}

}  // namespace skylarkbridge::cli
