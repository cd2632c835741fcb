#include "skylarkbridge/cli/json_text.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace skylarkbridge::cli {
namespace {

using nlohmann::ordered_json;

constexpr int kMaxDepth = 32;

/// Control characters could change what the terminal shows.
std::string Scalar(const ordered_json& value) {
  return value.is_string()
             ? absl::Utf8SafeCEscape(value.get_ref<const std::string&>())
             : value.dump(-1, ' ', false,
                          ordered_json::error_handler_t::replace);
}

bool IsFlatObject(const ordered_json& value) {
  return value.is_object() &&
         std::none_of(value.begin(), value.end(), [](const ordered_json& item) {
           return item.is_structured();
         });
}

bool IsTable(const ordered_json& value) {
  return value.is_array() && !value.empty() &&
         std::all_of(value.begin(), value.end(), IsFlatObject);
}

std::vector<std::string> Columns(const ordered_json& rows) {
  std::vector<std::string> columns;
  for (const ordered_json& row : rows) {
    for (const auto& [key, cell] : row.items()) {
      if (std::find(columns.begin(), columns.end(), key) == columns.end()) {
        columns.push_back(key);
      }
    }
  }
  return columns;
}

void WriteTable(const ordered_json& rows,
                const std::string& indent,
                std::string& out) {
  const std::vector<std::string> columns = Columns(rows);
  std::vector<std::vector<std::string>> lines;
  std::vector<std::string>& head = lines.emplace_back();
  for (const std::string& column : columns) {
    head.push_back(absl::Utf8SafeCEscape(column));
  }
  for (const ordered_json& row : rows) {
    std::vector<std::string>& line = lines.emplace_back();
    for (const std::string& column : columns) {
      line.push_back(row.contains(column) ? Scalar(row[column]) : "-");
    }
  }
  std::vector<std::size_t> widths(columns.size());
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  for (const auto& line : lines) {
    std::string text = indent;
    for (std::size_t i = 0; i < line.size(); ++i) {
      absl::StrAppend(&text, line[i],
                      std::string(widths[i] + 2 - line[i].size(), ' '));
    }
    text.erase(text.find_last_not_of(' ') + 1);
    absl::StrAppend(&out, text, "\n");
  }
}

void Write(const ordered_json& value,
           const std::string& indent,
           std::string& out);

void WriteMember(const std::string& label,
                 const ordered_json& value,
                 const std::string& indent,
                 std::string& out) {
  if (!value.is_structured()) {
    absl::StrAppend(&out, indent, label, " ", Scalar(value), "\n");
  } else if (value.empty()) {
    absl::StrAppend(&out, indent, label, " none\n");
  } else {
    absl::StrAppend(&out, indent, label, "\n");
    Write(value, indent + "  ", out);
  }
}

void Write(const ordered_json& value,
           const std::string& indent,
           std::string& out) {
  if (IsTable(value)) {
    WriteTable(value, indent, out);
  } else if (value.is_object()) {
    for (const auto& [key, item] : value.items()) {
      WriteMember(absl::Utf8SafeCEscape(key) + ":", item, indent, out);
    }
  } else if (value.is_array()) {
    for (const ordered_json& item : value) {
      WriteMember("-", item, indent, out);
    }
  } else {
    absl::StrAppend(&out, indent, Scalar(value), "\n");
  }
}

}  // namespace

std::optional<ordered_json> ParseAnswer(std::string_view text) {
  bool too_deep = false;
  const auto bound = [&](int depth, ordered_json::parse_event_t,
                         ordered_json&) {
    too_deep = too_deep || depth > kMaxDepth;
    return !too_deep;
  };
  ordered_json value = ordered_json::parse(text, bound, false);
  if (too_deep || value.is_discarded()) {
    return std::nullopt;
  }
  return value;
}

std::string FormatJsonText(const ordered_json& value) {
  std::string out;
  Write(value, "", out);
  return out;
}

}  // namespace skylarkbridge::cli
