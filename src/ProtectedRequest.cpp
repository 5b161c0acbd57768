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

std::optional<HomeAction> ProtectedRequest::BeginMessage(
  const HomeDirectory& aDirectory,
  TimePoint aNow)
{
  if (mState != State::AwaitingPermission) {
    return std::nullopt;
  }
  const auto homes = aDirectory.Find(mKey);
  if (!homes) {
    return std::nullopt;
  }
  if (!mFirstRequestedAt) {
    mFirstRequestedAt = aNow;
  }
  return HomeAction{ .mTo = homes->mPrimary,
                     .mMessage = RecordBegin{ .mKey = mKey,
                                              .mFingerprint = mFingerprint,
                                              .mAttempt = mAttempt } };
}

ProtectedRequest::Step ProtectedRequest::RefuseWith(ResultCode aCode,
                                                    bool aReportToHome)
{
  POLLENWAY_ASSERT(mState < State::Started,
                   "a request that may have run is refused as not run");
  mState = State::Refused;
  mRefusal = aCode;
  mAttemptOutcome = AttemptOutcome::NotRun;
  mIsEndAcknowledged = !aReportToHome;
  return Step::Refuse;
}

ProtectedRequest::Step ProtectedRequest::OnReply(const RecordBeginReply& aReply,
                                                 TimePoint aNow)
{
  if (mState != State::AwaitingPermission || aReply.mAttempt != mAttempt) {
    return Step::Done;
  }
  switch (aReply.mVerdict) {
    case BeginVerdict::Run:
      if (aNow - *mFirstRequestedAt >= mOptions.mStartWindow) {
        return RefuseWith(ResultCode::HomeUnavailable, true);
      }
      mState = State::Permitted;
      return Step::Run;
    case BeginVerdict::StoredAnswer:
      mState = State::Refused;
      mIsEndAcknowledged = true;
      mAnswer = aReply.mAnswer;
      return Step::Answer;
    case BeginVerdict::Refused:
      break;
  }
  // Another member may have become the primary.
  if (aReply.mCode == ResultCode::StaleView &&
      aNow - *mFirstRequestedAt < mOptions.mStartWindow) {
    return Step::Wait;
  }
  // An earlier copy of the message may have reached another home than the one
  // that refused.
  return RefuseWith(aReply.mCode, true);
}

bool ProtectedRequest::TryStart(TimePoint aNow)
{
  if (mState != State::Permitted) {
    return false;
  }
  if (aNow - *mFirstRequestedAt >= mOptions.mStartWindow) {
    RefuseWith(ResultCode::HomeUnavailable, true);
    return false;
  }
  mState = State::Started;
  return true;
}

ProtectedRequest::Step ProtectedRequest::GiveUp()
{
  if (mState != State::AwaitingPermission && mState != State::Permitted) {
    return Step::Done;
  }
  return RefuseWith(ResultCode::HomeUnavailable, mFirstRequestedAt.has_value());
}

void ProtectedRequest::End(AttemptOutcome aOutcome, std::string aAnswer)
{
  POLLENWAY_ASSERT(mState == State::Started,
                   "a request that was not started has ended");
  mState = State::Ended;
  mAttemptOutcome = aOutcome;
  mAnswer = std::move(aAnswer);
}

std::optional<HomeAction> ProtectedRequest::EndMessage(
  const HomeDirectory& aDirectory) const
{
  if (mIsEndAcknowledged ||
      (mState != State::Refused && mState != State::Ended)) {
    return std::nullopt;
  }
  const auto homes = aDirectory.Find(mKey);
  if (!homes) {
    return std::nullopt;
  }
  const bool fits = mAttemptOutcome == AttemptOutcome::Answered &&
                    mAnswer.size() <= mOptions.mMaxStoredAnswerBytes;
  return HomeAction{ .mTo = homes->mPrimary,
                     .mMessage =
                       RecordEnd{ .mKey = mKey,
                                  .mAttempt = mAttempt,
                                  .mAttemptOutcome = mAttemptOutcome,
                                  .mAnswer = fits ? mAnswer : std::string(),
                                  .mHasAnswer = fits } };
}

} // namespace pollenway
