#include <gtest/gtest.h>

#include <boost/leaf/error.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/telemetry/span_export_child.hpp"

namespace skylarkbridge::telemetry {
namespace {

namespace leaf = boost::leaf;

finished_span Sample(std::string name) {
  finished_span span;
  span.context = *ParseTraceparent(
      "00-0af7651916cd43dd8448eb211c80319c-"
      "b7ad6b7169203331-01");
  span.name = std::move(name);
  span.kind = span_kind::kServer;
  span.start = wall_time(std::chrono::nanoseconds(1'700'000'000'000'000'001));
  span.end = span.start + std::chrono::milliseconds(5);
  return span;
}

/// Keeps what it is given, and fails while it is told to.
struct exporter_fake {
  struct state {
    std::vector<std::vector<std::string>> batches;
    int failures = 0;
  };
  state* out;

  leaf::result<void> Export(std::span<const finished_span> spans) const {
    if (out->failures > 0) {
      --out->failures;
      return leaf::new_error(failure{"collector", "down"});
    }
    std::vector<std::string>& names = out->batches.emplace_back();
    for (const finished_span& span : spans) {
      names.push_back(span.name);
    }
    return {};
  }
};

// A collector refuses documents that differ from the published form.
TEST(OtlpJsonTest, WritesThePublishedForm) {
  finished_span child = Sample("submit \xff");
  child.parent = {1, 2, 3, 4, 5, 6, 7, 8};
  child.attributes = {{"service", "despacho"}};
  child.error = true;
  const std::vector<finished_span> spans = {Sample("root"), child};
  EXPECT_EQ(
      FormatOtlpJson({.service_instance = "3", .data_centre = "sierra-1"},
                     spans),
      R"({"resourceSpans":[{"resource":{"attributes":[)"
      R"({"key":"service.name","value":{"stringValue":"skylarkbridge"}},)"
      R"({"key":"service.instance.id","value":{"stringValue":"3"}},)"
      R"({"key":"cloud.availability_zone","value":{"stringValue":"sierra-1"}})"
      R"(]},"scopeSpans":[{"scope":{"name":"skylarkbridge"},"spans":[)"
      R"({"traceId":"0af7651916cd43dd8448eb211c80319c",)"
      R"("spanId":"b7ad6b7169203331","name":"root","kind":2,)"
      R"("startTimeUnixNano":"1700000000000000001",)"
      R"("endTimeUnixNano":"1700000000005000001","attributes":[],"status":{}},)"
      R"({"traceId":"0af7651916cd43dd8448eb211c80319c",)"
      R"("spanId":"b7ad6b7169203331","parentSpanId":"0102030405060708",)"
      "\"name\":\"submit \xEF\xBF\xBD\",\"kind\":2,"
      R"("startTimeUnixNano":"1700000000000000001",)"
      R"("endTimeUnixNano":"1700000000005000001","attributes":[)"
      R"({"key":"service","value":{"stringValue":"despacho"}}],)"
      R"("status":{"code":2}}]}]}]})");
}

// A collector that is down must not grow the buffer or block traffic.
TEST(SpanBufferTest, DropsAndCountsWhenFull) {
  span_buffer buffer(2);
  finished_span unsampled = Sample("unsampled");
  unsampled.context.sampled = false;
  buffer.Record(unsampled);
  for (const char* name : {"a", "b", "c", "d"}) {
    buffer.Record(Sample(name));
  }
  EXPECT_EQ(buffer.Dropped(), 2u);
  EXPECT_EQ(buffer.Take(1, boot_clock::now()).size(), 2u);
}

// Spans of the last requests must not be lost by a graceful stop.
TEST(SpanExportChildTest, FlushesInBatchesOnStop) {
  span_buffer buffer(100);
  exporter_fake::state seen;
  span_export_child child(buffer, exporter_fake{&seen}, {.batch = 2});
  stop_signal stop;
  stop.Request(boot_clock::now() + std::chrono::hours(1));
  for (const char* name : {"a", "b", "c"}) {
    buffer.Record(Sample(name));
  }
  EXPECT_TRUE(child(stop));
  EXPECT_EQ(seen.batches,
            (std::vector<std::vector<std::string>>{{"a", "b"}, {"c"}}));
}

// A stop must end the child also while it waits for spans.
TEST(SpanExportChildTest, StopWakesTheChild) {
  span_buffer buffer(100);
  exporter_fake::state seen;
  stop_signal stop;
  bool ended = false;
  {
    auto thread = posix_thread::Start("export", [&] {
      span_export_child child(buffer, exporter_fake{&seen},
                              {.interval = std::chrono::hours(1)});
      ended = static_cast<bool>(child(stop));
    });
    ASSERT_TRUE(thread);
    buffer.Record(Sample("a"));
    stop.Request(boot_clock::now() + std::chrono::hours(1));
  }
  EXPECT_TRUE(ended);
  EXPECT_EQ(seen.batches, (std::vector<std::vector<std::string>>{{"a"}}));
}

// A collector that is down must not restart the child, whose restarts would
// escalate to the whole process.
TEST(SpanExportChildTest, SurvivesAFailedExport) {
  span_buffer buffer(100);
  exporter_fake::state seen{.failures = 1};
  span_export_child child(buffer, exporter_fake{&seen}, {.batch = 1});
  stop_signal stop;
  stop.Request(boot_clock::now() + std::chrono::hours(1));
  buffer.Record(Sample("lost"));
  buffer.Record(Sample("kept"));
  EXPECT_TRUE(child(stop));
  EXPECT_EQ(seen.batches, (std::vector<std::vector<std::string>>{{"kept"}}));
}

TEST(FileWriterTest, AppendsOneLineForEachDocument) {
  const std::string path = testing::TempDir() + "skylarkbridge_spans.json";
  std::remove(path.c_str());
  otlp_json_exporter exporter({}, file_writer(path));
  const std::vector<finished_span> spans = {Sample("a")};
  EXPECT_TRUE(exporter.Export(spans));
  EXPECT_TRUE(exporter.Export(spans));
  std::ifstream file(path);
  int lines = 0;
  for (std::string line; std::getline(file, line); ++lines) {
    EXPECT_TRUE(nlohmann::json::accept(line));
  }
  EXPECT_EQ(lines, 2);
  std::remove(path.c_str());
}

// A path that cannot be written must be reported, not ignored.
TEST(FileWriterTest, ReportsAFailedWrite) {
  const std::string error = leaf::try_handle_all(
      []() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(file_writer("/nonexistent/spans.json")("{}"));
        return std::string("none");
      },
      [](const failure& found) { return Format(found); },
      [] { return std::string("unknown"); });
  EXPECT_EQ(error,
            "trace file /nonexistent/spans.json: No such file or directory");
}

}  // namespace
}  // namespace skylarkbridge::telemetry
