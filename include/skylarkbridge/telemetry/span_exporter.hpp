#ifndef SKYLARKBRIDGE_TELEMETRY_SPAN_EXPORTER_HPP
#define SKYLARKBRIDGE_TELEMETRY_SPAN_EXPORTER_HPP

#include <boost/leaf/result.hpp>
#include <concepts>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "skylarkbridge/telemetry/otlp_json.hpp"
#include "skylarkbridge/telemetry/span.hpp"

namespace skylarkbridge::telemetry {

/// @brief Sends finished spans out of the process. Called on the exporter
/// thread only. Fails with `failure`.
template <class T>
concept span_exporter = requires(T& exporter,
                                 std::span<const finished_span> spans) {
  { exporter.Export(spans) } -> std::same_as<boost::leaf::result<void>>;
};

/// @brief Takes one OTLP document, for example by an HTTP POST to /v1/traces.
/// Fails with `failure`.
template <class T>
concept document_writer = requires(T& write, std::string_view document) {
  { write(document) } -> std::same_as<boost::leaf::result<void>>;
};

/// @brief Writes spans in the JSON form of OTLP.
template <document_writer Writer>
class otlp_json_exporter {
 public:
  otlp_json_exporter(otlp_resource resource, Writer write)
      : resource_(std::move(resource)), write_(std::move(write)) {}

  boost::leaf::result<void> Export(std::span<const finished_span> spans) {
    return write_(FormatOtlpJson(resource_, spans));
  }

 private:
  otlp_resource resource_;
  Writer write_;
};

/// @brief Appends each document to a file as one line, the form of OTLP's file
/// exporter. Opens the file for each document, so that it can be rotated.
class file_writer {
 public:
  explicit file_writer(std::string path) : path_(std::move(path)) {}
  boost::leaf::result<void> operator()(std::string_view document) const;

 private:
  std::string path_;
};

}  // namespace skylarkbridge::telemetry

#endif  // SKYLARKBRIDGE_TELEMETRY_SPAN_EXPORTER_HPP
