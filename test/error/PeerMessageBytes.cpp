#include "../PeerSamples.h"
#include "FrameDecoder.h"
#include "PeerMessage.h"
#include "Random.h"

#include <doctest/doctest.h>

using namespace pollenway;

namespace {

ResultCode CodeOf(std::string_view aBytes)
{
  const auto out = DecodePeerMessage(aBytes);
  return out ? ResultCode::Ok : out.error().mCode;
}

} // namespace

// Guards against accepting malicious or corrupted bytes, and against rejecting
// them with the wrong code.
TEST_CASE("bad bytes are refused with their code")
{
  using namespace std::string_literals;
  const auto valid = EncodePeerMessage(PeerSamples()[0]).value();
  REQUIRE(CodeOf(valid) == ResultCode::Ok);
  auto otherVersion = valid;
  otherVersion[2] = 2;
  auto unknownKind = valid;
  unknownKind[4] = 100;
  auto repeatedField = valid;
  repeatedField[3] = 0;
  struct Row
  {
    const char* mName;
    std::string mBytes;
    ResultCode mCode;
  };
  const Row rows[] = {
    { "empty", "", ResultCode::MalformedMessage },
    { "not a map", "\x93\x01\x02\x03", ResultCode::MalformedMessage },
    { "empty map", "\x80", ResultCode::MalformedMessage },
    { "reserved byte", "\xc1", ResultCode::MalformedMessage },
    { "extension type", "\xd4\x01\x01", ResultCode::MalformedMessage },
    { "trailing byte", valid + "\xc0", ResultCode::MalformedMessage },
    { "other version", otherVersion, ResultCode::UnsupportedVersion },
    { "unknown kind", unknownKind, ResultCode::MalformedMessage },
    { "repeated field", repeatedField, ResultCode::MalformedMessage },
    { "array of 4 billion",
      "\xdd\xff\xff\xff\xff",
      ResultCode::MessageTooLarge },
    { "map of 4 billion", "\xdf\xff\xff\xff\xff", ResultCode::MessageTooLarge },
    { "text of 4 GB", "\xdb\xff\xff\xff\xff", ResultCode::MalformedMessage },
    { "deep nesting",
      std::string(10'000, '\x91'),
      ResultCode::MessageTooLarge },
    { "many values",
      "\xdc\xff\xff"s + std::string(65'535, '\xc0'),
      ResultCode::MessageTooLarge },
    { "oversized",
      std::string(kMaxPeerFrame + 1, '\xc0'),
      ResultCode::MessageTooLarge },
  };
  for (const auto& it : rows) {
    CAPTURE(it.mName);
    CHECK(CodeOf(it.mBytes) == it.mCode);
  }
  for (size_t n = 0; n < valid.size(); ++n) {
    CHECK(CodeOf(valid.substr(0, n)) == ResultCode::MalformedMessage);
  }
}

// Guards against a crash or an exception on corrupted frames. 60,000 mutations,
// seed 1; accepted messages must be encodable again.
TEST_CASE("mutated frames are decoded or refused")
{
  Random random(1);
  const auto samples = PeerSamples();
  unsigned accepted = 0;
  for (unsigned i = 0; i < 60'000; ++i) {
    auto bytes = EncodePeerMessage(samples[i % samples.size()]).value();
    for (auto edits = 1 + random.Below(4); edits > 0; --edits) {
      const size_t at = random.Below(bytes.size());
      switch (random.Below(4)) {
        case 0:
          bytes[at] = char(random.Next());
          break;
        case 1:
          bytes.insert(at, 1, char(random.Next()));
          break;
        case 2:
          bytes.erase(at, 1 + random.Below(3));
          break;
        default:
          bytes += bytes.substr(at);
      }
      if (bytes.empty()) {
        bytes = "\xc0";
      }
    }
    const auto out = DecodePeerMessage(bytes);
    if (out) {
      ++accepted;
      CHECK(EncodePeerMessage(out.value()));
    } else {
      const auto code = out.error().mCode;
      const bool isKnown = code == ResultCode::MalformedMessage ||
                           code == ResultCode::MessageTooLarge ||
                           code == ResultCode::UnsupportedVersion;
      CHECK(isKnown);
    }
  }
  CHECK(accepted > 0);
}

// Guards against reserving memory for a length that a peer only claims, and
// against using a stream whose frame boundaries are lost.
TEST_CASE("a frame above the limit ends the stream")
{
  FrameDecoder decoder;
  decoder.Feed(std::string("\x00\x10\x00\x01", 4));
  for (int i = 0; i < 2; ++i) {
    const auto out = decoder.Next();
    REQUIRE(!out);
    CHECK(out.error().mCode == ResultCode::MessageTooLarge);
    decoder.Feed("more");
  }
  FrameDecoder atLimit;
  atLimit.Feed(std::string("\x00\x10\x00\x00", 4));
  CHECK(!atLimit.Next().value());
  atLimit.Feed(std::string(kMaxPeerFrame, 'x'));
  CHECK(atLimit.Next().value()->size() == kMaxPeerFrame);
  CHECK(atLimit.Capacity() >= kMaxPeerFrame);
  atLimit.ReleaseUnused();
  CHECK(atLimit.Capacity() < kMaxPeerFrame);
  CHECK_FALSE(atLimit.Next().value());

  auto large = PeerSamples()[0];
  large.mBody = peer::Configuration{ 1, std::string(kMaxPeerFrame, 'x') };
  CHECK(EncodePeerFrame(large).error().mCode == ResultCode::MessageTooLarge);
}
