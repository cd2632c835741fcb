#include <gtest/gtest.h>

#include <boost/leaf/handle_errors.hpp>
#include <random>

#include "skylarkbridge/wire/configuration_parts.hpp"
#include "skylarkbridge/wire/frame.hpp"
#include "skylarkbridge/wire/peer_codec.hpp"

namespace skylarkbridge::wire {
namespace {

namespace leaf = boost::leaf;

/// The value, or the error that came instead.
template <class F>
auto Outcome(F&& attempt, decode_error& error) {
  using value_type = std::decay_t<decltype(attempt().value())>;
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<value_type>> {
        BOOST_LEAF_AUTO(value, attempt());
        return std::optional<value_type>(std::move(value));
      },
      [&](const decode_error& found) {
        error = found;
        return std::optional<value_type>();
      },
      [] {
        ADD_FAILURE() << "an error without decode_error";
        return std::optional<value_type>();
      });
}

coordination::member_entry Entry() {
  return {.vm = {3},
          .data_centre = {2},
          .address = {"10.1.2.3", 7070},
          .life = {wall_time(std::chrono::seconds(1700000000)), {99}},
          .sequence = 5,
          .status = coordination::member_status::kLeaving};
}

std::vector<peer_message> AllMessages() {
  const coordination::version_tag version{7, 1234567};
  const coordination::ballot ballot{4, {3}, {99}};
  const coordination::slot_holder_id holder{{5}, {77}};
  const time_point sent{std::chrono::seconds(9)};
  return {hello{Entry(), {4}, "secret"},
          coordination::heartbeat{Entry(), version, 42},
          coordination::member_update{
              {Entry(), Entry()},
              {{{8}, coordination::upstream_status::kLeaving, wall_time()}}},
          configuration_offer{version},
          configuration_fetch{version},
          configuration_part{version, 55, 1, 3, "{\"teams\":[]}"},
          slot_request{{2}, {holder, 6, sent, ballot, {{{8}, {1, 2}}}, 12}},
          slot_grant{{2},
                     {holder,
                      ballot,
                      6,
                      sent,
                      std::chrono::seconds(3),
                      {{{8}, {3, 4}}},
                      12}},
          forward_request{.number = 9,
                          .service = "entry-desk",
                          .method = "POST",
                          .path = "/heat",
                          .headers = {{"Content-Type", "application/json"}},
                          .body = std::string("a\0b", 3),
                          .idempotency_key = "k",
                          .idempotent = true,
                          .time_left = std::chrono::milliseconds(250),
                          .trace_parent = "00-1-2-01"},
          forward_answer{.number = 9,
                         .outcome = forward_outcome::kNotRun,
                         .status = 503,
                         .headers = {{"Retry-After", "1"}},
                         .body = "{}",
                         .retry_after = std::chrono::seconds(1)},
          leaving{Entry()}};
}

// A field that is lost on the way would show as a wrong decision on the peer.
TEST(PeerCodecTest, CarriesEveryField) {
  const std::vector<peer_message> all = AllMessages();
  ASSERT_EQ(all.size(), std::variant_size_v<peer_message>);
  for (const peer_message& message : all) {
    const std::string body = EncodePeerMessage(message).value();
    EXPECT_EQ(DecodePeerMessage(body).value(), message) << message.index();
  }
}

// The traffic that docs/decisions/membership.md states rests on this size.
TEST(PeerCodecTest, KeepsHeartbeatsSmall) {
  const std::string body =
      EncodePeerMessage(coordination::heartbeat{Entry(), {}, 42}).value();
  RecordProperty("heartbeat_frame_bytes",
                 std::to_string(body.size() + kFrameHeaderBytes));
  EXPECT_LE(body.size() + kFrameHeaderBytes, 160);
}

// Values that no peer accepts must be refused with their place, on both sides.
TEST(PeerCodecTest, NamesThePlaceOfABadValue) {
  decode_error error;
  const configuration_part part{.part = 3, .parts = 3};
  EXPECT_FALSE(Outcome([&] { return EncodePeerMessage(part); }, error));
  EXPECT_EQ(Format(error), "configuration_part.part: 3 is not below 3");
  peer_message late = slot_grant{.grant = {.duration = std::chrono::hours(30)}};
  const std::string body =
      EncodePeerMessage(late, {.duration = std::chrono::hours(99)}).value();
  EXPECT_FALSE(Outcome([&] { return DecodePeerMessage(body); }, error));
  EXPECT_EQ(error.fault, decode_fault::kOutOfRange);
  EXPECT_EQ(error.place, "slot_grant.duration");
  const hello loud{.token = std::string(9000, 'x')};
  EXPECT_FALSE(Outcome([&] { return EncodePeerMessage(loud); }, error));
  EXPECT_EQ(Format(error), "hello.token: 9000 bytes are above 8192");
  const forward_request large{.body = std::string(kMaxFrameBytes, 'x')};
  EXPECT_FALSE(Outcome([&] { return EncodePeerMessage(large); }, error));
  EXPECT_EQ(error.fault, decode_fault::kTooLarge);
}

// TCP cuts a stream anywhere.
TEST(FrameDecoderTest, JoinsBytesThatArriveOneByOne) {
  const std::string stream =
      EncodeFrame("first").value() + EncodeFrame("").value();
  frame_decoder decoder;
  std::vector<std::string> bodies;
  for (const char byte : stream) {
    decoder.Feed({&byte, 1});
    std::string body;
    while (decoder.Next(body).value()) {
      bodies.push_back(body);
    }
  }
  EXPECT_EQ(bodies, (std::vector<std::string>{"first", ""}));
  EXPECT_EQ(decoder.Buffered(), 0);
}

// A wrong header must end the connection before its length is waited for.
TEST(FrameDecoderTest, RefusesBadHeaders) {
  const auto fault_of = [](std::string_view header) {
    frame_decoder decoder;
    decoder.Feed(header);
    decode_error error;
    std::string body;
    EXPECT_FALSE(Outcome([&] { return decoder.Next(body); }, error));
    return error;
  };
  EXPECT_EQ(fault_of({"\x05\0\0\0\x02\0\0\0", 8}).fault,
            decode_fault::kWrongVersion);
  EXPECT_EQ(fault_of({"\x05\0\0\0\x01\0\x01\0", 8}).place, "frame.reserved");
  EXPECT_EQ(fault_of({"\0\0\x10\0\x01\0\0\0", 8}).fault,
            decode_fault::kTooLarge);
  decode_error error;
  EXPECT_FALSE(Outcome(
      [] { return EncodeFrame(std::string(kMaxFrameBytes, 'x')); }, error));
}

/// Changes, removes, repeats and inserts bytes.
std::string Mutate(std::string bytes, std::mt19937_64& random) {
  const auto below = [&random](std::size_t limit) {
    return limit == 0 ? 0 : random() % limit;
  };
  const std::size_t edits = 1 + below(6);
  for (std::size_t i = 0; i < edits && !bytes.empty(); ++i) {
    const std::size_t at = below(bytes.size());
    switch (below(6)) {
      case 0:
        bytes[at] = static_cast<char>(bytes[at] ^ (1U << below(8)));
        break;
      case 1:
        bytes[at] = static_cast<char>(random());
        break;
      case 2:
        bytes.erase(at, 1 + below(8));
        break;
      case 3: {
        const std::size_t length = 1 + below(16);
        const std::size_t from = below(bytes.size());
        bytes.insert(at, bytes.substr(from, length));
        break;
      }
      case 4:
        bytes.resize(at);
        break;
      default:
        bytes[at] = static_cast<char>(below(2) == 0 ? 0xff : 0x7f);
        break;
    }
  }
  return bytes;
}

// Bytes from the network must never crash a daemon: they give messages within
// the limits or typed errors that name a place.
TEST(PeerCodecTest, SurvivesMalformedInput) {
  constexpr std::uint64_t kSeed = 20240917;
  constexpr int kInputs = 200'000;
  std::mt19937_64 random(kSeed);
  std::vector<std::string> bodies;
  for (const peer_message& message : AllMessages()) {
    bodies.push_back(EncodePeerMessage(message).value());
  }
  int accepted = 0;
  for (int i = 0; i < kInputs; ++i) {
    const std::string& original = bodies[random() % bodies.size()];
    decode_error error;
    if (i % 2 == 0) {
      const std::string body = Mutate(original, random);
      const auto message =
          Outcome([&] { return DecodePeerMessage(body); }, error);
      if (message) {
        ++accepted;
        ASSERT_TRUE(EncodePeerMessage(*message)) << "seed " << kSeed;
      }
    } else {
      frame_decoder decoder;
      decoder.Feed(Mutate(EncodeFrame(original).value(), random));
      std::string body;
      while (Outcome([&] { return decoder.Next(body); }, error) == true) {
        Outcome([&] { return DecodePeerMessage(body); }, error);
      }
    }
    ASSERT_TRUE(error.message.empty() || !error.place.empty());
  }
  std::cout << kInputs << " inputs, seed " << kSeed << ", " << accepted
            << " still valid\n";
}

// A configuration larger than a frame must arrive whole or not at all.
TEST(ConfigurationPartsTest, JoinsWhatWasSplit) {
  const coordination::known_version version{
      9, std::string(kConfigurationPartBytes * 2 + 5, 'c'), 77};
  const std::vector<configuration_part> parts = SplitConfiguration(version);
  ASSERT_EQ(parts.size(), 3);
  configuration_assembler assembler;
  EXPECT_FALSE(assembler.Add(parts[0]).value());
  decode_error error;
  EXPECT_FALSE(Outcome([&] { return assembler.Add(parts[2]); }, error));
  EXPECT_EQ(error.place, "configuration_part.part");
  for (std::size_t i = 0; i < 2; ++i) {
    EXPECT_FALSE(assembler.Add(parts[i]).value());
    EXPECT_TRUE(EncodePeerMessage(parts[i]));
  }
  EXPECT_EQ(assembler.Add(parts[2]).value(), version);
}

}  // namespace
}  // namespace skylarkbridge::wire
