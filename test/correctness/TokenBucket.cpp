#include "TokenBucket.h"

#include <doctest/doctest.h>

using namespace pollenway;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against refilling the depth used by a hold for the time before the
// hold expired.
TEST_CASE("a bucket refills the depth of held tokens only after their expiry")
{
  TokenBucket bucket(10, 5, TimePoint{});
  const TimePoint now{ seconds(10) };
  CHECK(bucket.TakeHeld(5, now, now + milliseconds(100), "client", 1));
  CHECK(bucket.Tokens(now + milliseconds(200)) == doctest::Approx(1));
}

// Guards against tokens that are created by a change of rate or depth, or by a
// time earlier than one seen before.
TEST_CASE("neither a change nor an earlier time adds tokens")
{
  TokenBucket bucket(10, 5, TimePoint{});
  const TimePoint now{ seconds(10) };
  CHECK(bucket.Take(4, now));
  bucket.SetRateAndDepth(100, 50, now);
  CHECK(bucket.Tokens(now) == doctest::Approx(1));
  CHECK(bucket.Tokens(now - seconds(5)) == doctest::Approx(1));
  CHECK(bucket.Tokens(now) == doctest::Approx(1));
  CHECK(bucket.TimeUntil(2, now) == milliseconds(10));
  bucket.Retire(now);
  CHECK(bucket.Tokens(now + seconds(9)) == 0);
  CHECK(bucket.TimeUntil(1, now) == Duration::max());
}
