#include "AdminServer.h"

#include "HttpHeaders.h"
#include "RequestTarget.h"
#include "SteadyTime.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace pollenway {

namespace {

using nlohmann::json;

constexpr size_t kMaxBodyBytes = 4096;
constexpr size_t kMaxKeyIdBytes = 128;
constexpr uint64_t kMaxWaitMs = 3000;
constexpr auto kConfirmationPollInterval = std::chrono::milliseconds(20);

TextResponse JsonAnswer(http::status aStatus, const json& aBody)
{
  return MakeJsonAnswer(
    aStatus, aBody.dump(2, ' ', false, json::error_handler_t::replace) + "\n");
}

double Milliseconds(Duration aDuration)
{
  return ToSeconds(aDuration) * 1000;
}

json RecordJson(const DecisionRecord& aRecord, TimePoint aNow)
{
  json attempts = json::array();
  for (const auto& it : aRecord.mAttempts) {
    attempts.push_back({ { "target", it.mTarget.Text() },
                         { "result", it.mResult },
                         { "duration_ms", Milliseconds(it.mDuration) } });
  }
  json unusable = json::array();
  for (const auto& it : aRecord.mUnusable) {
    unusable.push_back(
      { { "target", it.mName.Text() }, { "reason", Name(it.mReason) } });
  }
  json out = {
    { "id", aRecord.mId },
    { "workspace", aRecord.mWorkspace.Text() },
    { "service", aRecord.mService.Text() },
    { "route", aRecord.mRoute },
    { "admission", nullptr },
    { "home_step", nullptr },
    { "attempts", std::move(attempts) },
    { "unusable_targets", std::move(unusable) },
    { "code", int(aRecord.mCode) },
    { "name", Name(aRecord.mCode) },
    { "outcome", Name(OutcomeOf(aRecord.mCode)) },
    { "duration_ms", Milliseconds(aRecord.mEndedAt - aRecord.mStartedAt) },
    { "age_ms", Milliseconds(aNow - aRecord.mEndedAt) },
  };
  if (aRecord.mAdmission) {
    out["admission"] = Name(*aRecord.mAdmission);
  }
  if (!aRecord.mHomeStep.empty()) {
    out["home_step"] = aRecord.mHomeStep;
  }
  return out;
}

/// Parsed body of `POST /withdrawals`.
struct WithdrawalRequest
{
  KeyId mKey;
  std::optional<Duration> mWait{};
};

std::optional<WithdrawalRequest> ParseWithdrawal(const std::string& aBody)
{
  const auto document = json::parse(aBody, nullptr, false);
  if (!document.is_object() || !document.contains("key") ||
      !document["key"].is_string()) {
    return std::nullopt;
  }
  const auto key = document["key"].get<std::string>();
  if (key.empty() || key.size() > kMaxKeyIdBytes) {
    return std::nullopt;
  }
  WithdrawalRequest out{ .mKey = KeyId(key) };
  if (const auto it = document.find("wait_ms"); it != document.end()) {
    if (!it->is_number_unsigned() || it->get<uint64_t>() > kMaxWaitMs) {
      return std::nullopt;
    }
    out.mWait = std::chrono::milliseconds(it->get<uint64_t>());
  }
  return out;
}

bool IsComplete(const json& aReport)
{
  for (const auto& it : aReport) {
    if (it.at("confirmed") < it.at("members")) {
      return false;
    }
  }
  return true;
}

} // namespace

AdminServer::AdminServer(asio::any_io_executor aExecutor,
                         Options aOptions,
                         const DecisionLog& aDecisions,
                         Callbacks aCallbacks)
  : mExecutor(aExecutor)
  , mOptions(std::move(aOptions))
  , mDecisions(aDecisions)
  , mCallbacks(std::move(aCallbacks))
  , mServer(aExecutor, {}, [this](HttpConnection& aConnection) {
    return Handle(aConnection);
  })
{
}

Result<void> AdminServer::Listen(const std::string& aAddress, uint16_t aPort)
{
  return mServer.Listen(aAddress, aPort);
}

Awaitable<void> AdminServer::Handle(HttpConnection& aConnection)
{
  const std::string target(aConnection.Header().target());
  const http::verb method = aConnection.Header().method();
  auto body = co_await aConnection.ReadBody(kMaxBodyBytes);
  TextResponse answer;
  if (!body) {
    answer = MakeRefusal(body.error().mCode, body.error().mDetail);
    aConnection.CloseAfterAnswer();
  } else if (method == http::verb::get) {
    answer = HandleGet(target);
  } else if (method == http::verb::post && target == "/withdrawals") {
    answer = co_await Withdraw(std::move(body.value()));
  } else if (method == http::verb::post && target == "/drain") {
    mCallbacks.mDrain();
    answer =
      JsonAnswer(http::status::accepted,
                 { { "name", mOptions.mName.Text() }, { "leaving", true } });
  } else {
    answer = MakeRefusal(ResultCode::NotFound, "no such admin request");
  }
  co_await aConnection.Write(std::move(answer));
}

TextResponse AdminServer::HandleGet(std::string_view aTarget)
{
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  if (path == "/state") {
    return JsonAnswer(http::status::ok, mCallbacks.mState());
  }
  if (path == "/explain") {
    return Explain(aTarget);
  }
  if (path == "/metrics") {
    TextResponse answer(http::status::ok, 11);
    answer.set(http::field::content_type, "text/plain; version=0.0.4");
    answer.body() = mCallbacks.mMetrics();
    return answer;
  }
  return MakeRefusal(ResultCode::NotFound, "no such admin request");
}

TextResponse AdminServer::Explain(std::string_view aTarget) const
{
  const auto target = RequestTarget::Parse(aTarget);
  const TimePoint now = SteadyNow();
  if (const auto id = target.mQuery.find("request");
      id != target.mQuery.end()) {
    const DecisionRecord* record = mDecisions.Find(id->second);
    if (!record) {
      return MakeRefusal(ResultCode::NotFound,
                         "the request is not among the last " +
                           std::to_string(mDecisions.Size()) +
                           " that ended at this instance");
    }
    return JsonAnswer(http::status::ok, RecordJson(*record, now));
  }
  const auto count = target.Number("last");
  if (!count) {
    return MakeRefusal(ResultCode::BadRequest,
                       "one of request=ID and last=NUMBER is needed");
  }
  json requests = json::array();
  for (const auto* it : mDecisions.Last(*count)) {
    requests.push_back(RecordJson(*it, now));
  }
  return JsonAnswer(http::status::ok, { { "requests", std::move(requests) } });
}

Awaitable<TextResponse> AdminServer::Withdraw(std::string aBody)
{
  const auto request = ParseWithdrawal(aBody);
  if (!request) {
    co_return MakeRefusal(ResultCode::BadRequest,
                          "the body must be {\"key\": ID} with an ID of at "
                          "most 128 bytes, and optionally \"wait_ms\" of at "
                          "most 3000");
  }
  mCallbacks.mWithdraw(request->mKey);
  const TimePoint deadline =
    SteadyNow() + request->mWait.value_or(mOptions.mConfirmationTimeout);
  asio::steady_timer timer(mExecutor);
  json zones = mCallbacks.mWithdrawalReport();
  while (!IsComplete(zones) && SteadyNow() < deadline) {
    timer.expires_after(kConfirmationPollInterval);
    ErrorCode ec;
    co_await timer.async_wait(Into(ec));
    zones = mCallbacks.mWithdrawalReport();
  }
  const bool isComplete = IsComplete(zones);
  json answer = { { "key", request->mKey.Text() },
                  { "name", mOptions.mName.Text() },
                  { "zone", mOptions.mZone.Text() },
                  { "complete", isComplete },
                  { "zones", std::move(zones) } };
  co_return JsonAnswer(http::status::ok, answer);
}

} // namespace pollenway
