#include "skylarkbridge/telemetry/trace_context.hpp"

#include <gtest/gtest.h>

namespace skylarkbridge::telemetry {
namespace {

constexpr char kHeader[] =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

// A changed byte would tear the caller's trace apart.
TEST(TraceContextTest, RoundTrip) {
  const auto context = ParseTraceparent(kHeader);
  ASSERT_TRUE(context);
  EXPECT_EQ(FormatTraceparent(*context), kHeader);
  EXPECT_EQ(NewSpan(*context).trace, context->trace);
  EXPECT_NE(NewSpan(*context).span, context->span);
}

// A malformed header from outside must start a new trace, not be passed on.
TEST(TraceContextTest, RefusesMalformedHeaders) {
  for (const char* header :
       {"", "00-", "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "00-00000000000000000000000000000000-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0"}) {
    EXPECT_FALSE(ParseTraceparent(header)) << header;
  }
}

}  // namespace
}  // namespace skylarkbridge::telemetry
