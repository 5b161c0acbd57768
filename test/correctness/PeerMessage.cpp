#include "PeerMessage.h"

#include "../PeerSamples.h"
#include "FrameDecoder.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against a member that is missing from a body's `Fields` or read back
// in another order: the second encoding would differ from the first.
TEST_CASE("each message kind is read back as it was written")
{
  for (const auto& it : PeerSamples()) {
    CAPTURE(Name(it.Kind()));
    const auto bytes = EncodePeerMessage(it);
    REQUIRE(bytes);
    const auto back = DecodePeerMessage(bytes.value());
    REQUIRE(back);
    CHECK(back.value().Kind() == it.Kind());
    CHECK(back.value().mSender == it.mSender);
    CHECK(back.value().mIncarnation == it.mIncarnation);
    CHECK(back.value().mRequestId == it.mRequestId);
    CHECK(back.value().mIsReply == it.mIsReply);
    CHECK(back.value().mReceiverIncarnation == it.mReceiverIncarnation);
    CHECK(EncodePeerMessage(back.value()).value() == bytes.value());
  }
  const auto samples = PeerSamples();
  const auto back =
    DecodePeerMessage(EncodePeerMessage(samples[0]).value()).value();
  const auto& digest = std::get<peer::Heartbeat>(back.mBody).mDigest;
  CHECK(digest.mViews.at(1).mNumber == 900);
  CHECK(digest.mLoads.at(0).mTarget == TargetName("lookup-1"));
  CHECK(digest.mConfigurationHash == ~0ull);
}

// Guards against frames that are lost or merged when reads split the stream.
TEST_CASE("frames are found however the stream is split")
{
  std::string stream;
  const auto samples = PeerSamples();
  for (const auto& it : samples) {
    stream += EncodePeerFrame(it).value();
  }
  for (const size_t step :
       { size_t(1), size_t(3), size_t(64), stream.size() }) {
    FrameDecoder decoder;
    size_t n = 0;
    for (size_t at = 0; at < stream.size(); at += step) {
      decoder.Feed(std::string_view(stream).substr(at, step));
      for (;;) {
        const auto frame = decoder.Next();
        REQUIRE(frame);
        if (!frame.value()) {
          break;
        }
        const auto message = DecodePeerMessage(*frame.value());
        REQUIRE(message);
        CHECK(message.value().Kind() == samples.at(n).Kind());
        ++n;
      }
    }
    CHECK(n == samples.size());
    CHECK(decoder.Buffered() == 0);
  }
}
