#include "BackendServer.h"

#include "../JsonAnswer.h"
#include "Logger.h"
#include "RequestTarget.h"

namespace pollenway {

namespace {

constexpr size_t kMaxAdminBodyBytes = 64 * 1024;

void ApplyFaults(BackendTarget& aTarget, const nlohmann::json& aCommand)
{
  TargetFaults faults = aTarget.Faults();
  faults.mFailing = aCommand.value("failing", faults.mFailing);
  faults.mMisleadingHealth =
    aCommand.value("misleading_health", faults.mMisleadingHealth);
  faults.mAnswerDelay = FromSeconds(
    aCommand.value("answer_delay_ms", ToSeconds(faults.mAnswerDelay) * 1e3) /
    1e3);
  faults.mCrossAnswers = aCommand.value("cross_answers", faults.mCrossAnswers);
  faults.mCutAnswers = aCommand.value("cut_answers", faults.mCutAnswers);
  faults.mSlowdown = aCommand.value("slowdown", faults.mSlowdown);
  aTarget.SetFaults(faults);
}

} // namespace

BackendServer::BackendServer(asio::any_io_executor aExecutor)
  : mExecutor(aExecutor)
  , mAdmin(aExecutor, HttpLimits{}, [this](HttpConnection& aConnection) {
    return Handle(aConnection);
  })
{
}

Result<void> BackendServer::Add(BackendTarget::Options aOptions)
{
  mTargets.push_back(
    std::make_unique<BackendTarget>(mExecutor, std::move(aOptions), mLog));
  return mTargets.back()->Start();
}

void BackendServer::Stop()
{
  mAdmin.Abort();
  for (const auto& it : mTargets) {
    it->Stop();
  }
}

nlohmann::json BackendServer::TargetStats() const
{
  auto document = nlohmann::json::object();
  for (const auto& it : mTargets) {
    document[it->Name()] = it->Stats();
  }
  return document;
}

nlohmann::json BackendServer::ExecutionReport() const
{
  auto document = mLog.ToJson();
  document["targets"] = TargetStats();
  uint64_t withAuthorization = 0;
  for (const auto& it : document["targets"]) {
    withAuthorization += it["with_authorization"].get<uint64_t>();
  }
  document["with_authorization"] = withAuthorization;
  return document;
}

bool BackendServer::Apply(const std::string& aName,
                          const nlohmann::json& aCommand)
{
  bool found = false;
  for (const auto& it : mTargets) {
    if (aName != "*" && aName != it->Name()) {
      continue;
    }
    found = true;
    ApplyFaults(*it, aCommand);
    if (aCommand.contains("drain")) {
      it->SetDraining(aCommand.value("drain", false));
    }
    if (aCommand.contains("slots")) {
      it->SetSlots(aCommand.value("slots", 1u));
    }
    if (aCommand.value("reset", false)) {
      it->Reset();
    }
    if (aCommand.value("silence", false)) {
      it->SilenceConnections();
    }
    if (aCommand.value("crash", false)) {
      it->Crash();
    }
  }
  return found;
}

Awaitable<void> BackendServer::Handle(HttpConnection& aConnection)
{
  const RequestTarget target =
    RequestTarget::Parse(std::string(aConnection.Header().target()));
  const auto& path = target.mSegments;
  const bool isPost = aConnection.Header().method() == http::verb::post;
  auto body = co_await aConnection.ReadBody(kMaxAdminBodyBytes);
  const std::string name =
    path.size() >= 2 && path[0] == "admin" ? path[1] : "";
  TextResponse answer = ErrorAnswer(http::status::not_found, "unknown path");
  if (name == "executions" && path.size() == 2) {
    if (isPost) {
      mLog.Clear();
    }
    answer = JsonAnswer(http::status::ok, ExecutionReport());
  } else if (name == "targets" && path.size() == 2) {
    answer = JsonAnswer(http::status::ok, TargetStats());
  } else if (name == "targets" && path.size() == 3 && isPost) {
    const auto command =
      nlohmann::json::parse(body ? body.value() : "", nullptr, false);
    if (!command.is_object()) {
      answer = ErrorAnswer(http::status::bad_request, "not a JSON object");
    } else if (Apply(path[2], command)) {
      Log(LogLevel::Info,
          "target_command",
          { { "target", path[2] }, { "command", command.dump() } });
      answer = JsonAnswer(http::status::ok, command);
    }
  }
  co_await aConnection.Write(std::move(answer));
}

} // namespace pollenway
