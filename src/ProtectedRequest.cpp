#include "ProtectedRequest.h"

#include "Assert.h"

namespace pollenway {

std::string_view Name(ProtectedRequest::Step aStep)
{
  switch (aStep) {
    case ProtectedRequest::Step::Wait:
      return "wait";
    case ProtectedRequest::Step::Run:
      return "run";
    case ProtectedRequest::Step::Answer:
      return "answer";
    case ProtectedRequest::Step::Refuse:
      return "refuse";
    case ProtectedRequest::Step::Done:
      return "done";
  }
  return "unknown";
}

ProtectedRequest::ProtectedRequest(RecordKey aKey,
                                   uint64_t aFingerprint,
                                   AttemptId aAttempt,
                                   IdempotencyOptions aOptions)
  : mKey(std::move(aKey))
  , mFingerprint(aFingerprint)
  , mAttempt(std::move(aAttempt))
  , mOptions(aOptions)
{
}

std::optional<HomeAction> ProtectedRequest::Ask(const HomeDirectory& aDirectory,
                                                TimePoint aNow)
{
  if (mState != State::Asking) {
    return std::nullopt;
  }
  const auto homes = aDirectory.Find(mKey);
  if (!homes) {
    return std::nullopt;
  }
  if (!mFirstAsked) {
    mFirstAsked = aNow;
  }
  return HomeAction{ .mTo = homes->mPrimary,
                     .mMessage = RecordBegin{ .mKey = mKey,
                                              .mFingerprint = mFingerprint,
                                              .mAttempt = mAttempt } };
}

ProtectedRequest::Step ProtectedRequest::RefuseWith(ResultCode aCode,
                                                    bool aReport)
{
  POLLENWAY_ASSERT(mState < State::Started,
                   "a request that may have run is refused as not run");
  mState = State::Refused;
  mRefusal = aCode;
  mEnding = RecordEnding::NotRun;
  mReported = !aReport;
  return Step::Refuse;
}

ProtectedRequest::Step ProtectedRequest::OnReply(const RecordBeginReply& aReply,
                                                 TimePoint aNow)
{
  if (mState != State::Asking || aReply.mAttempt != mAttempt) {
    return Step::Done;
  }
  switch (aReply.mVerdict) {
    case BeginVerdict::Run:
      if (aNow - *mFirstAsked >= mOptions.mRunWindow) {
        return RefuseWith(ResultCode::HomeUnavailable, true);
      }
      mState = State::Permitted;
      return Step::Run;
    case BeginVerdict::StoredAnswer:
      mState = State::Refused;
      mReported = true;
      mAnswer = aReply.mAnswer;
      return Step::Answer;
    case BeginVerdict::Refused:
      break;
  }
  // Another member may be the primary by now.
  if (aReply.mCode == ResultCode::StaleView &&
      aNow - *mFirstAsked < mOptions.mRunWindow) {
    return Step::Wait;
  }
  // The home that refused may not be the one that an earlier repeat reached.
  return RefuseWith(aReply.mCode, true);
}

bool ProtectedRequest::TryStart(TimePoint aNow)
{
  if (mState != State::Permitted) {
    return false;
  }
  if (aNow - *mFirstAsked >= mOptions.mRunWindow) {
    RefuseWith(ResultCode::HomeUnavailable, true);
    return false;
  }
  mState = State::Started;
  return true;
}

ProtectedRequest::Step ProtectedRequest::GiveUp()
{
  if (mState != State::Asking && mState != State::Permitted) {
    return Step::Done;
  }
  return RefuseWith(ResultCode::HomeUnavailable, mFirstAsked.has_value());
}

void ProtectedRequest::End(RecordEnding aEnding, std::string aAnswer)
{
  POLLENWAY_ASSERT(mState == State::Started,
                   "a request that was not started has ended");
  mState = State::Closed;
  mEnding = aEnding;
  mAnswer = std::move(aAnswer);
}

std::optional<HomeAction> ProtectedRequest::Report(
  const HomeDirectory& aDirectory) const
{
  if (mReported || (mState != State::Refused && mState != State::Closed)) {
    return std::nullopt;
  }
  const auto homes = aDirectory.Find(mKey);
  if (!homes) {
    return std::nullopt;
  }
  const bool fits = mEnding == RecordEnding::Answered &&
                    mAnswer.size() <= mOptions.mLargestAnswer;
  return HomeAction{ .mTo = homes->mPrimary,
                     .mMessage =
                       RecordEnd{ .mKey = mKey,
                                  .mAttempt = mAttempt,
                                  .mEnding = mEnding,
                                  .mAnswer = fits ? mAnswer : std::string(),
                                  .mHasAnswer = fits } };
}

} // namespace pollenway
