#include "PlatformServer.h"

#include "../JsonAnswer.h"
#include "Logger.h"
#include "SteadyTime.h"

#include <algorithm>

namespace pollenway {

namespace {

constexpr uint64_t kMaxWatchMs = 300'000;
constexpr size_t kMaxAdminBodyBytes = 64 * 1024;

bool IsName(const std::string& aText)
{
  return aText.size() <= 200 &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
           return std::isalnum(aChar) || aChar == '-' || aChar == '_' ||
                  aChar == '.' || aChar == ':';
         });
}

std::string ETagOf(uint64_t aVersion)
{
  return '"' + std::to_string(aVersion) + '"';
}

/// Returns the precondition of a write; empty if a header is malformed.
std::optional<ObjectTable::Condition> ConditionOf(const RequestHeader& aHeader)
{
  ObjectTable::Condition condition;
  const std::string none = FieldText(aHeader, "If-None-Match");
  if (!none.empty()) {
    if (none != "*") {
      return std::nullopt;
    }
    condition.mAbsent = true;
  }
  std::string match = FieldText(aHeader, "If-Match");
  if (match == "*") {
    condition.mVersion = 0;
  } else if (!match.empty()) {
    if (match.size() > 2 && match.front() == '"' && match.back() == '"') {
      match = match.substr(1, match.size() - 2);
    }
    const auto version = ParseNumber(match);
    if (!version || *version == 0) {
      return std::nullopt;
    }
    condition.mVersion = version;
  }
  return condition;
}

http::status StatusOf(ResultCode aCode)
{
  switch (aCode) {
    case ResultCode::Conflict:
      return http::status::precondition_failed;
    case ResultCode::TooLarge:
      return http::status::payload_too_large;
    case ResultCode::NotFound:
      return http::status::not_found;
    default:
      return http::status::bad_request;
  }
}

} // namespace

PlatformServer::PlatformServer(asio::any_io_executor aExecutor,
                               Options aOptions)
  : mExecutor(aExecutor)
  , mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mTable(aOptions.mHistory)
  , mStaleTable(aOptions.mHistory)
  , mServer(aExecutor, HttpLimits{}, [this](HttpConnection& aConnection) {
    return Handle(aConnection);
  })
{
}

void PlatformServer::Stop()
{
  mStopping = true;
  mServer.Abort();
  WakeWatches();
}

void PlatformServer::SetFaults(const Faults& aFaults)
{
  if (aFaults.mStaleReads > Duration::zero() &&
      mFaults.mStaleReads == Duration::zero()) {
    mStaleTable = mTable;
    mWriteTimes.clear();
  }
  mFaults = aFaults;
  WakeWatches();
}

uint64_t PlatformServer::Calls(const std::string& aCall) const
{
  const auto it = mCalls.find(aCall);
  return it == mCalls.end() ? 0 : it->second;
}

void PlatformServer::WakeWatches()
{
  for (auto* it : mWatches) {
    it->cancel();
  }
}

void PlatformServer::OnWrite()
{
  if (mFaults.mStaleReads > Duration::zero()) {
    mWriteTimes.push_back({ SteadyNow(), mTable.Revision() });
  }
  WakeWatches();
}

const ObjectTable& PlatformServer::ReadTable()
{
  if (mFaults.mStaleReads == Duration::zero()) {
    return mTable;
  }
  const TimePoint visibleUntil = SteadyNow() - mFaults.mStaleReads;
  uint64_t revision = mStaleTable.Revision();
  while (!mWriteTimes.empty() &&
         mWriteTimes.front().mWrittenAt <= visibleUntil) {
    revision = mWriteTimes.front().mRevision;
    mWriteTimes.pop_front();
  }
  const auto changes = mTable.ChangesAfter(mStaleTable.Revision(), "");
  if (!changes) {
    mStaleTable = mTable;
    return mStaleTable;
  }
  for (const auto& it : changes.value()) {
    if (it.mVersion <= revision) {
      mStaleTable.Apply(it);
    }
  }
  return mStaleTable;
}

Awaitable<void> PlatformServer::Sleep(Duration aTime)
{
  ErrorCode ec;
  asio::steady_timer timer(mExecutor, aTime);
  co_await timer.async_wait(Into(ec));
}

Awaitable<void> PlatformServer::Handle(HttpConnection& aConnection)
{
  const RequestTarget target =
    RequestTarget::Parse(std::string(aConnection.Header().target()));
  const auto& path = target.mSegments;
  const size_t n = path.size();
  if (n > 0 && path[0] == "admin") {
    co_await HandleAdmin(aConnection, target);
    co_return;
  }
  if (mFaults.mOutage) {
    ++mRefusedByOutage;
    co_return;
  }
  if (mFaults.mLatency > Duration::zero()) {
    co_await Sleep(mFaults.mLatency);
  }
  const bool isValidPath =
    n >= 2 && path[0] == "v1" && std::all_of(path.begin(), path.end(), IsName);
  if (isValidPath && path[1] == "objects" && n == 4) {
    co_await HandleObject(aConnection, target);
  } else if (isValidPath && path[1] == "objects" && n == 3) {
    co_await HandleList(aConnection, target);
  } else if (isValidPath && path[1] == "watch" && n <= 3) {
    co_await HandleWatch(aConnection, target);
  } else if (isValidPath && path[1] == "instances" && n <= 3) {
    co_await HandleInstances(aConnection, target);
  } else {
    auto answer = ErrorAnswer(http::status::not_found, "unknown path");
    co_await aConnection.Write(std::move(answer));
  }
}

Awaitable<void> PlatformServer::AnswerWrite(HttpConnection& aConnection,
                                            TextResponse aAnswer)
{
  if (mRandom.Chance(mFaults.mLoseAnswers)) {
    ++mLostAnswers;
    co_return;
  }
  co_await aConnection.Write(std::move(aAnswer));
}

Awaitable<void> PlatformServer::HandleObject(HttpConnection& aConnection,
                                             const RequestTarget& aTarget)
{
  const std::string& kind = aTarget.mSegments[2];
  const std::string& name = aTarget.mSegments[3];
  const auto method = aConnection.Header().method();
  ++mCallsByObjectKind[kind];
  if (method == http::verb::get) {
    ++mCalls["get"];
    const auto* const object = ReadTable().Get(kind, name);
    TextResponse answer =
      ErrorAnswer(http::status::not_found, "the object does not exist");
    if (object) {
      answer = TextResponse(http::status::ok, 11);
      answer.set(http::field::etag, ETagOf(object->mVersion));
      answer.set(http::field::content_type, "application/json");
      answer.body() = *object->mValue;
    }
    co_await aConnection.Write(std::move(answer));
    co_return;
  }
  if (method != http::verb::put && method != http::verb::delete_) {
    auto answer = ErrorAnswer(http::status::method_not_allowed,
                              "method must be GET, PUT or DELETE");
    co_await aConnection.Write(std::move(answer));
    co_return;
  }
  const bool isPut = method == http::verb::put;
  ++mCalls[isPut ? "put" : "delete"];
  co_await aConnection.SendContinue();
  auto body = co_await aConnection.ReadBody(ObjectTable::kMaxValueBytes);
  if (!body) {
    auto answer =
      ErrorAnswer(StatusOf(body.error().mCode), body.error().mDetail);
    co_await aConnection.Write(std::move(answer));
    co_return;
  }
  const auto condition = ConditionOf(aConnection.Header());
  if (!condition) {
    auto answer =
      ErrorAnswer(http::status::bad_request,
                  "If-Match must be a version, If-None-Match must be *");
    co_await aConnection.Write(std::move(answer));
    co_return;
  }
  const auto result =
    isPut ? mTable.Put(kind, name, std::move(body.value()), *condition)
          : mTable.Delete(kind, name, *condition);
  if (!result) {
    auto answer =
      ErrorAnswer(StatusOf(result.error().mCode), result.error().mDetail);
    co_await AnswerWrite(aConnection, std::move(answer));
    co_return;
  }
  OnWrite();
  nlohmann::json document;
  document["version"] = result.value();
  auto answer = JsonAnswer(http::status::ok, document);
  answer.set(http::field::etag, ETagOf(result.value()));
  co_await AnswerWrite(aConnection, std::move(answer));
}

Awaitable<void> PlatformServer::HandleList(HttpConnection& aConnection,
                                           const RequestTarget& aTarget)
{
  const std::string& kind = aTarget.mSegments[2];
  ++mCalls["list"];
  ++mCallsByObjectKind[kind];
  const ObjectTable& table = ReadTable();
  auto document = nlohmann::json::array();
  for (const auto& [name, object] : table.List(kind)) {
    nlohmann::json entry;
    entry["name"] = name;
    entry["version"] = object.mVersion;
    entry["value"] = *object.mValue;
    document.push_back(std::move(entry));
  }
  auto answer = JsonAnswer(http::status::ok, document);
  answer.set("Pollenway-Revision", std::to_string(table.Revision()));
  co_await aConnection.Write(std::move(answer));
}

Awaitable<void> PlatformServer::HandleWatch(HttpConnection& aConnection,
                                            const RequestTarget& aTarget)
{
  const std::string kind =
    aTarget.mSegments.size() == 3 ? aTarget.mSegments[2] : "";
  const uint64_t after = aTarget.Number("after").value_or(mTable.Revision());
  const uint64_t timeoutMs =
    std::min(aTarget.Number("timeout_ms").value_or(30'000), kMaxWatchMs);
  ++mCalls["watch"];
  asio::steady_timer timer(mExecutor);
  const auto end =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
  auto closed = std::make_shared<bool>(false);
  // The reference to the timer stays valid while the callback is in use: the
  // callback is removed with the next request, and this handler returns only
  // after the answer or the end of the connection.
  aConnection.WatchDisconnect([closed, &timer] {
    *closed = true;
    timer.cancel();
  });
  for (;;) {
    const auto changes = mTable.ChangesAfter(after, kind);
    if (!changes) {
      auto answer = ErrorAnswer(http::status::gone, changes.error().mDetail);
      co_await aConnection.Write(std::move(answer));
      co_return;
    }
    const bool timedOut = std::chrono::steady_clock::now() >= end;
    if (!changes.value().empty() || timedOut) {
      nlohmann::json document;
      document["revision"] = mTable.Revision();
      document["changes"] = nlohmann::json::array();
      for (const auto& it : changes.value()) {
        nlohmann::json entry;
        entry["kind"] = it.mKind;
        entry["name"] = it.mName;
        entry["version"] = it.mVersion;
        if (it.mValue) {
          entry["value"] = *it.mValue;
        } else {
          entry["deleted"] = true;
        }
        document["changes"].push_back(std::move(entry));
      }
      auto answer = JsonAnswer(http::status::ok, document);
      co_await aConnection.Write(std::move(answer));
      co_return;
    }
    ErrorCode ec;
    timer.expires_at(end);
    mWatches.insert(&timer);
    co_await timer.async_wait(Into(ec));
    mWatches.erase(&timer);
    if (*closed || mStopping || mFaults.mOutage) {
      aConnection.WatchDisconnect(nullptr);
      co_return;
    }
  }
}

Awaitable<void> PlatformServer::HandleInstances(HttpConnection& aConnection,
                                                const RequestTarget& aTarget)
{
  if (aTarget.mSegments.size() == 2) {
    ++mCalls["instances"];
    auto document = nlohmann::json::array();
    const auto states = mInstances.At(SteadyNow() - mOptions.mInstanceListLag);
    for (const auto& [name, state] : states) {
      nlohmann::json entry;
      entry["name"] = name;
      entry["state"] = state;
      document.push_back(std::move(entry));
    }
    auto answer = JsonAnswer(http::status::ok, document);
    co_await aConnection.Write(std::move(answer));
    co_return;
  }
  ++mCalls["instance_update"];
  auto body = co_await aConnection.ReadBody(kMaxAdminBodyBytes);
  const auto document =
    nlohmann::json::parse(body ? body.value() : "", nullptr, false);
  const std::string state =
    document.is_object() ? document.value("state", "") : "";
  const bool valid =
    state == "live" || state == "leaving" || state == "terminated";
  TextResponse answer = ErrorAnswer(
    http::status::bad_request, "state must be live, leaving or terminated");
  if (valid && aConnection.Header().method() == http::verb::post) {
    mInstances.Set(aTarget.mSegments[2], state, SteadyNow());
    answer = JsonAnswer(http::status::ok, document);
  }
  co_await aConnection.Write(std::move(answer));
}

Awaitable<void> PlatformServer::HandleAdmin(HttpConnection& aConnection,
                                            const RequestTarget& aTarget)
{
  const std::string name =
    aTarget.mSegments.size() == 2 ? aTarget.mSegments[1] : "";
  auto body = co_await aConnection.ReadBody(kMaxAdminBodyBytes);
  TextResponse answer = ErrorAnswer(http::status::not_found, "unknown path");
  if (name == "stats") {
    answer = JsonAnswer(http::status::ok, Stats());
  } else if (name == "faults") {
    const auto document =
      nlohmann::json::parse(body ? body.value() : "", nullptr, false);
    if (document.is_object()) {
      Faults faults = mFaults;
      faults.mOutage = document.value("outage", faults.mOutage);
      faults.mLatency = FromSeconds(
        document.value("latency_ms", ToSeconds(faults.mLatency) * 1e3) / 1e3);
      faults.mLoseAnswers = document.value("lose_answers", faults.mLoseAnswers);
      faults.mStaleReads = FromSeconds(
        document.value("stale_reads_ms", ToSeconds(faults.mStaleReads) * 1e3) /
        1e3);
      SetFaults(faults);
      Log(LogLevel::Info,
          "faults_set",
          { { "outage", int(faults.mOutage) },
            { "latency_ms", ToSeconds(faults.mLatency) * 1e3 },
            { "lose_answers", faults.mLoseAnswers },
            { "stale_reads_ms", ToSeconds(faults.mStaleReads) * 1e3 } });
      answer = JsonAnswer(http::status::ok, Stats());
    } else {
      answer = ErrorAnswer(http::status::bad_request, "not a JSON object");
    }
  }
  co_await aConnection.Write(std::move(answer));
}

nlohmann::json PlatformServer::Stats() const
{
  nlohmann::json document;
  document["calls"] = mCalls;
  document["calls_by_object_kind"] = mCallsByObjectKind;
  uint64_t total = 0;
  for (const auto& it : mCalls) {
    total += it.second;
  }
  document["total"] = total;
  document["refused_by_outage"] = mRefusedByOutage;
  document["lost_answers"] = mLostAnswers;
  document["waiting_watches"] = mWatches.size();
  document["revision"] = mTable.Revision();
  return document;
}

} // namespace pollenway
