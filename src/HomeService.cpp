#include "HomeService.h"

#include "Logger.h"
#include "Spawn.h"
#include "SteadyTime.h"

namespace pollenway {

namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(100);
constexpr char kHomeMapKind[] = "homemap";
constexpr char kHomeMapName[] = "current";

IdempotencyOptions MakeOptions(const EntrySettings& aSettings)
{
  IdempotencyOptions options;
  options.mRetention = aSettings.mRecordRetention;
  options.mMaxStoredAnswerBytes = aSettings.mMaxBufferedAnswerBytes;
  return options;
}

} // namespace

struct HomeService::ActiveRequest
{
  ActiveRequest(asio::any_io_executor aExecutor,
                uint64_t aNumber,
                ProtectedRequest aRequest)
    : mNumber(aNumber)
    , mRequest(std::move(aRequest))
    , mTimer(aExecutor)
  {
  }

  uint64_t mNumber;
  ProtectedRequest mRequest;
  asio::steady_timer mTimer;
  ProtectedRequest::Step mStep = ProtectedRequest::Step::Wait;
};

HomeService::HomeService(asio::any_io_executor aExecutor,
                         FleetState& aFleet,
                         StoreClient& aStore,
                         PeerTransport& aTransport,
                         MembershipService& aMembership)
  : mExecutor(aExecutor)
  , mFleet(aFleet)
  , mStore(aStore)
  , mTransport(aTransport)
  , mMembership(aMembership)
  , mOptions(MakeOptions(aFleet.mSettings))
  , mTimer(aExecutor)
{
  OnRejoin();
}

HomeService::~HomeService() = default;

HomeMember HomeService::Self() const
{
  return { mFleet.mSelf.mName, mFleet.mSelf.mIncarnation };
}

void HomeService::OnRejoin()
{
  mTable =
    std::make_unique<IdempotencyTable>(mFleet.mSelf.mZone, Self(), mOptions);
  mTable->OnDirectory(mDirectory, SteadyNow());
}

void HomeService::Start()
{
  Spawn(mExecutor, TickLoop());
}

void HomeService::Stop()
{
  mStopping = true;
  mTimer.cancel();
}

Awaitable<void> HomeService::TickLoop()
{
  while (!mStopping) {
    if (mDirectory.Map().mVersion == 0 && !mReadingMap && mFleet.mInventory &&
        mStore.RetryPause() == Duration(0)) {
      mReadingMap = true;
      Spawn(mExecutor, ReadHomeMap());
    }
    mTable->Tick(SteadyNow());
    Flush();
    std::erase_if(mRequests,
                  [](const auto& aEntry) { return aEntry.second.expired(); });
    mTimer.expires_after(kTickInterval);
    ErrorCode ec;
    co_await mTimer.async_wait(Into(ec));
  }
}

Awaitable<void> HomeService::ReadHomeMap()
{
  auto object = co_await mStore.Get(kHomeMapKind, kHomeMapName);
  if (!object && object.error().mCode == ResultCode::NotFound &&
      mFleet.mInventory) {
    std::vector<HomeZone> zones;
    for (const auto& region : mFleet.mInventory->mRegions) {
      for (const auto& it : region.mZones) {
        zones.push_back({ it, 0 });
      }
    }
    const std::string text = HomeMapToJson(CreateHomeMap(std::move(zones)));
    const StoreCondition absent = StoreCondition::Absent();
    const StoreWrite write =
      co_await mStore.Put(kHomeMapKind, kHomeMapName, text, absent);
    if (write.IsDone()) {
      OnHomeMap(text);
    }
  } else if (object) {
    OnHomeMap(object.value().mValue);
  }
  mReadingMap = false;
}

void HomeService::OnHomeMap(const std::string& aValue)
{
  auto map = HomeMapFromJson(aValue);
  if (!map) {
    Log(LogLevel::Error,
        "home_map_refused",
        { { "detail", map.error().mDetail } });
    return;
  }
  if (mDirectory.SetMap(std::move(map.value()))) {
    mTable->OnDirectory(mDirectory, SteadyNow());
    Flush();
  }
}

void HomeService::UpdateDirectory()
{
  const auto& table = mMembership.Table();
  bool changed = false;
  const auto& own = table.Zone().View();
  if (own.mNumber != 0) {
    changed = mDirectory.SetView(own.mZone, own.Homes()) || changed;
  }
  for (const auto& [zone, view] : table.RemoteViews()) {
    changed = mDirectory.SetView(zone, view.Homes()) || changed;
  }
  if (changed) {
    mTable->OnDirectory(mDirectory, SteadyNow());
    Flush();
  }
}

void HomeService::Flush()
{
  // Messages to this instance itself can produce further messages, which the
  // loop also sends.
  if (mFlushing) {
    return;
  }
  mFlushing = true;
  for (auto actions = mTable->TakeActions(); !actions.empty();
       actions = mTable->TakeActions()) {
    for (const auto& it : actions) {
      SendAction(it);
    }
  }
  mFlushing = false;
}

void HomeService::SendAction(const HomeAction& aAction)
{
  if (aAction.mTo == Self()) {
    Deliver(Self(), aAction.mMessage);
    return;
  }
  const auto* info = mFleet.mDirectory.Find(aAction.mTo.mName);
  peer::Home body;
  body.mMessage = aAction.mMessage;
  if (!info) {
    mTransport.NotifySender(
      aAction.mTo.mName, std::move(body), aAction.mTo.mIncarnation);
    return;
  }
  mTransport.Notify({ info->mAddress, info->mPeerPort },
                    std::move(body),
                    aAction.mTo.mIncarnation);
}

void HomeService::HandleMessage(const PeerMessage& aMessage)
{
  Deliver({ aMessage.mSender, aMessage.mIncarnation },
          std::get<peer::Home>(aMessage.mBody).mMessage);
  Flush();
}

void HomeService::Deliver(const HomeMember& aFrom, const HomeMessage& aMessage)
{
  if (const auto* beginReply = std::get_if<RecordBeginReply>(&aMessage)) {
    const auto it = mRequests.find(beginReply->mAttempt.mNumber);
    const auto request = it == mRequests.end() ? nullptr : it->second.lock();
    if (request && beginReply->mAttempt.mReceiver == Self()) {
      const auto step = request->mRequest.OnReply(*beginReply, SteadyNow());
      if (step != ProtectedRequest::Step::Done &&
          step != ProtectedRequest::Step::Wait) {
        request->mStep = step;
        request->mTimer.cancel();
      }
    }
  } else if (const auto* endReply = std::get_if<RecordEndReply>(&aMessage)) {
    const auto it = mRequests.find(endReply->mAttempt.mNumber);
    const auto request = it == mRequests.end() ? nullptr : it->second.lock();
    if (request && endReply->mAttempt.mReceiver == Self()) {
      request->mRequest.OnEndReply();
      request->mTimer.cancel();
    }
  } else {
    mTable->OnMessage(aFrom, aMessage, SteadyNow());
  }
}

std::shared_ptr<HomeService::ActiveRequest> HomeService::MakeRequest(
  RecordKey aKey,
  uint64_t aFingerprint)
{
  const uint64_t number = mNextAttemptNumber++;
  auto request = std::make_shared<ActiveRequest>(
    mExecutor,
    number,
    ProtectedRequest(
      std::move(aKey), aFingerprint, { Self(), number }, mOptions));
  mRequests[number] = request;
  return request;
}

Awaitable<void> HomeService::Wait(asio::steady_timer& aTimer, Duration aTime)
{
  aTimer.expires_after(aTime);
  ErrorCode ec;
  co_await aTimer.async_wait(Into(ec));
}

Awaitable<ProtectedRequest::Step> HomeService::Begin(
  std::shared_ptr<ActiveRequest> aRequest,
  TimePoint aDeadline)
{
  // A permission that arrives later could not be used.
  const TimePoint limit =
    std::min<TimePoint>(aDeadline, SteadyNow() + mOptions.mStartWindow);
  while (aRequest->mStep == ProtectedRequest::Step::Wait) {
    const TimePoint now = SteadyNow();
    if (now >= limit) {
      aRequest->mStep = aRequest->mRequest.GiveUp();
      break;
    }
    const auto message = aRequest->mRequest.BeginMessage(mDirectory, now);
    if (message) {
      SendAction(*message);
      Flush();
    }
    if (aRequest->mStep == ProtectedRequest::Step::Wait) {
      co_await Wait(aRequest->mTimer,
                    std::min<Duration>(mOptions.mResendInterval, limit - now));
    }
  }
  co_return aRequest->mStep;
}

bool HomeService::TryStart(ActiveRequest& aRequest)
{
  return aRequest.mRequest.TryStart(SteadyNow());
}

void HomeService::End(std::shared_ptr<ActiveRequest> aRequest,
                      AttemptOutcome aOutcome,
                      std::string aAnswer)
{
  if (aRequest->mRequest.HasStarted()) {
    aRequest->mRequest.End(aOutcome, std::move(aAnswer));
  } else {
    // Refused by its home, or no target was available for the first attempt.
    aRequest->mRequest.GiveUp();
  }
  Spawn(mExecutor, ReportEnd(std::move(aRequest)));
}

Awaitable<void> HomeService::ReportEnd(std::shared_ptr<ActiveRequest> aRequest)
{
  ++mOpenReports;
  const TimePoint until = SteadyNow() + mOptions.mRetention;
  while (!mStopping && SteadyNow() < until) {
    const auto message = aRequest->mRequest.EndMessage(mDirectory);
    if (!message && aRequest->mRequest.IsDone()) {
      break;
    }
    if (message) {
      SendAction(*message);
      Flush();
    }
    if (aRequest->mRequest.IsDone()) {
      break;
    }
    co_await Wait(aRequest->mTimer, mOptions.mResendInterval);
  }
  --mOpenReports;
}

ResultCode HomeService::RefusalOf(const ActiveRequest& aRequest) const
{
  return aRequest.mRequest.Refusal();
}

const std::string& HomeService::AnswerOf(const ActiveRequest& aRequest) const
{
  return aRequest.mRequest.Answer();
}

} // namespace pollenway
