#include "skylarkbridge/base/event_log.hpp"

#include <glog/logging.h>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/string_view.hpp"

namespace skylarkbridge {
namespace {

std::string FormatValue(const std::string& value) {
  const bool plain =
      !value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos;
  return plain ? value : absl::StrCat("\"", absl::CEscape(value), "\"");
}

}  // namespace

std::string FormatEvent(const event_definition& event,
                        std::initializer_list<event_field> fields) {
  std::string text = absl::StrCat("E", event.number, " ", ToAbsl(event.name));
  for (const event_field& field : fields) {
    absl::StrAppend(&text, " ", ToAbsl(field.name), "=",
                    FormatValue(field.value));
  }
  return text;
}

void LogEvent(const event_definition& event,
              std::initializer_list<event_field> fields) {
  const std::string text = FormatEvent(event, fields);
  switch (event.severity) {
    case event_severity::kInfo:
      LOG(INFO) << text;
      break;
    case event_severity::kWarning:
      LOG(WARNING) << text;
      break;
    case event_severity::kError:
      LOG(ERROR) << text;
      break;
  }
}

}  // namespace skylarkbridge
