#include "ActiveRequests.h"

#include "RequestContext.h"
#include "SteadyTime.h"

namespace pollenway {

ActiveRequests::Entry::Entry(ActiveRequests& aRequests,
                             RequestContext& aRequest)
  : mRequests(aRequests)
  , mRequest(aRequest)
{
  mRequests.mRequests.insert(&mRequest);
  mRequests.Limit(mRequest);
}

ActiveRequests::Entry::~Entry()
{
  mRequests.mRequests.erase(&mRequest);
}

void ActiveRequests::Limit(RequestContext& aRequest) const
{
  if (aRequest.mDeadline > mLatestDeadline) {
    aRequest.mDeadline = mLatestDeadline;
    aRequest.mLimitedByStop = true;
  }
}

void ActiveRequests::LimitTime(TimePoint aDeadline)
{
  mLatestDeadline = aDeadline;
  for (auto* it : mRequests) {
    Limit(*it);
  }
}

void ActiveRequests::EndAll()
{
  LimitTime(std::min(mLatestDeadline, SteadyNow()));
  for (auto* it : mRequests) {
    it->mLimitedByStop = true;
    if (it->mCancel && !it->mSource.HasAnswered()) {
      it->mCancel();
    }
  }
}

} // namespace pollenway
