#include "HeadroomShare.h"
#include "LoanLevels.h"
#include "Random.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>

using namespace pollenway;

namespace {

constexpr Duration kLifetime = std::chrono::seconds(15);

struct Member
{
  ShareMember mId;
  std::unique_ptr<HeadroomShare> mShare;
  /// The fractions within the last lifetime, during which answers are
  /// unexpired.
  std::vector<double> mRecent;
  bool mHasLeft = false;
};

} // namespace

// Guards against two instances that own the same headroom when views arrive
// late, members restart and confirmations are lost.
TEST_CASE("fractions of a zone never add up to more than one")
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    ShareView view{ .mNumber = 0, .mMembers = {} };
    std::vector<Member> members;
    TimePoint now;
    size_t settled = 0;
    for (int step = 0; step < 2000; ++step) {
      now += std::chrono::milliseconds(500);
      if (view.mMembers.empty() ||
          (view.mMembers.size() < 5 && random.Chance(0.01))) {
        Member it;
        it.mId = { InstanceName("i" + std::to_string(random.Below(6))),
                   uint64_t(step + 1) };
        const bool isNew = std::none_of(
          view.mMembers.begin(), view.mMembers.end(), [&](const auto& aOther) {
            return aOther.mName == it.mId.mName;
          });
        if (isNew) {
          it.mShare = std::make_unique<HeadroomShare>(it.mId, kLifetime);
          view.mMembers.push_back(it.mId);
          ++view.mNumber;
          members.push_back(std::move(it));
        }
      } else if (view.mMembers.size() > 1 && random.Chance(0.01)) {
        const auto at =
          view.mMembers.begin() + long(random.Below(view.mMembers.size()));
        for (auto& it : members) {
          // A member stops before the view that excludes it is committed.
          it.mHasLeft |= it.mId == *at;
        }
        view.mMembers.erase(at);
        ++view.mNumber;
      }
      double sum = 0;
      for (auto& it : members) {
        if (!it.mHasLeft) {
          if (random.Chance(0.3)) {
            it.mShare->ApplyView(view, now);
          }
          it.mShare->Update(now);
          // Assumes that answers up to the largest recent fraction are
          // unexpired.
          const double used =
            it.mRecent.empty()
              ? 0
              : *std::max_element(it.mRecent.begin(), it.mRecent.end());
          const uint64_t confirmed =
            it.mShare->Confirm(used <= it.mShare->Fraction(), now);
          for (auto& other : members) {
            if (!other.mHasLeft && random.Chance(0.5)) {
              other.mShare->OnConfirmed(it.mId, confirmed, now);
            }
          }
        }
      }
      for (auto& it : members) {
        it.mRecent.push_back(it.mHasLeft ? 0 : it.mShare->Fraction());
        if (it.mRecent.size() > 30) {
          it.mRecent.erase(it.mRecent.begin());
        }
        sum += *std::max_element(it.mRecent.begin(), it.mRecent.end());
        settled += !it.mHasLeft && it.mShare->IsSettled();
      }
      CAPTURE(seed);
      CAPTURE(step);
      REQUIRE(sum <= 1 + 1e-9);
    }
    // Checks that fractions are also raised.
    CHECK(settled > 1000);
  }
}

// Guards against a renewed loan that the lender counts twice, and against a
// borrower that uses more than the lender counts.
TEST_CASE("a loan counts at its highest level that has not ended")
{
  const auto at = [](int aSecond) {
    return TimePoint() + std::chrono::seconds(aSecond);
  };
  LoanLevels loan;
  loan.Set(10, at(15));
  loan.Set(10, at(16));
  loan.Set(4, at(20));
  loan.Set(6, at(18));
  struct Row
  {
    int mSecond;
    double mRate;
  };
  for (const auto& row : { Row{ 0, 10 },
                           Row{ 16, 10 },
                           Row{ 17, 6 },
                           Row{ 19, 4 },
                           Row{ 21, 0 } }) {
    CAPTURE(row.mSecond);
    CHECK(loan.RateUntil(at(row.mSecond)) == row.mRate);
  }
  CHECK(loan.Prune(at(19)));
  CHECK(!loan.Prune(at(20)));
}
