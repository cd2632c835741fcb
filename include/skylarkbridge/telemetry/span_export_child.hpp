#ifndef SKYLARKBRIDGE_TELEMETRY_SPAN_EXPORT_CHILD_HPP
#define SKYLARKBRIDGE_TELEMETRY_SPAN_EXPORT_CHILD_HPP

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/base/stop_signal.hpp"
#include "skylarkbridge/telemetry/events.hpp"
#include "skylarkbridge/telemetry/span_buffer.hpp"
#include "skylarkbridge/telemetry/span_exporter.hpp"

namespace skylarkbridge::telemetry {

struct span_export_options {
  /// Most spans in one document; 512 of this project's spans make about
  /// 150 KB.
  std::size_t batch = 512;
  /// Longest time that a span waits for a full batch.
  std::chrono::milliseconds interval = std::chrono::seconds(1);
};

/// @brief Body of a supervisor child that exports what a span_buffer holds.
///
/// A collector that is down does not fail the child: the spans are lost and
/// counted, and one event marks the start and the end of the outage. On a stop
/// it exports what is left until the drain deadline.
template <span_exporter Exporter>
class span_export_child {
 public:
  /// @param buffer must outlive the child and its stop signals.
  span_export_child(span_buffer& buffer,
                    Exporter exporter,
                    span_export_options options = {})
      : buffer_(buffer), exporter_(std::move(exporter)), options_(options) {}

  boost::leaf::result<void> operator()(stop_signal& stop) {
    buffer_.Resume();
    stop.OnRequest([&buffer = buffer_](time_point) { buffer.Flush(); });
    while (!stop.Requested()) {
      ExportAll(
          buffer_.Take(options_.batch, boot_clock::now() + options_.interval),
          std::nullopt);
      ReportDrops();
    }
    ExportAll(buffer_.Take(1, boot_clock::now()), stop.DrainDeadline());
    ReportDrops();
    return {};
  }

 private:
  void ExportAll(const std::vector<finished_span>& spans,
                 std::optional<time_point> deadline) {
    std::span<const finished_span> rest(spans);
    while (!rest.empty()) {
      if (deadline && boot_clock::now() >= *deadline) {
        NoteFailure(rest.size(), "the drain deadline has passed");
        return;
      }
      const auto batch = rest.first(std::min(rest.size(), options_.batch));
      rest = rest.subspan(batch.size());
      const std::string error = TryExport(batch);
      if (error.empty()) {
        NoteSuccess();
      } else {
        NoteFailure(batch.size(), error);
      }
    }
  }

  /// Returns what went wrong, or an empty text.
  std::string TryExport(std::span<const finished_span> batch) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
          BOOST_LEAF_CHECK(exporter_.Export(batch));
          return std::string();
        },
        [](const failure& found) { return Format(found); },
        [] { return std::string("unknown error"); });
  }

  void NoteFailure(std::size_t spans, const std::string& error) {
    if (lost_ == 0) {
      LogEvent(kSpanExportFailed,
               {{"spans", std::to_string(spans)}, {"error", error}});
    }
    lost_ += spans;
  }

  void NoteSuccess() {
    if (lost_ > 0) {
      LogEvent(kSpanExportRecovered, {{"spans_lost", std::to_string(lost_)}});
      lost_ = 0;
    }
  }

  void ReportDrops() {
    const std::uint64_t dropped = buffer_.Dropped();
    if (dropped > reported_drops_) {
      LogEvent(kSpansDropped,
               {{"spans", std::to_string(dropped - reported_drops_)},
                {"capacity", std::to_string(buffer_.Capacity())}});
      reported_drops_ = dropped;
    }
  }

  span_buffer& buffer_;
  Exporter exporter_;
  span_export_options options_;
  /// Spans lost in the current outage of the collector.
  std::uint64_t lost_ = 0;
  std::uint64_t reported_drops_ = 0;
};

}  // namespace skylarkbridge::telemetry

#endif  // SKYLARKBRIDGE_TELEMETRY_SPAN_EXPORT_CHILD_HPP
