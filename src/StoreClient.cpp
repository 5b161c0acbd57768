#include "StoreClient.h"

#include "PercentEncoding.h"
#include "RequestTarget.h"

#include <nlohmann/json.hpp>

namespace pollenway {

namespace {

constexpr size_t kMaxValueBytes = 1 << 20;
/// Listings and the answers to watches contain many values. Several calls are
/// open at a time, and a growing text is held twice.
constexpr size_t kMaxAnswerBytes = 8 * 1024 * 1024;
/// Writes don't use connections that have been idle for longer: the store may
/// be closing them, and the outcome would then be unknown.
constexpr auto kMaxIdleBeforeWrite = std::chrono::seconds(5);

HttpClientPoolOptions PoolOptions(const StoreClient::Options& aOptions)
{
  HttpClientPoolOptions options;
  options.mConnectTimeout = aOptions.mConnectTimeout;
  return options;
}

std::string KindPath(const std::string& aKind)
{
  return "/v1/objects/" + PercentEncode(aKind);
}

std::string ObjectPath(const std::string& aKind, const std::string& aName)
{
  return KindPath(aKind) + "/" + PercentEncode(aName);
}

Error Unavailable(const std::string& aDetail)
{
  return Error{ ResultCode::StoreUnavailable, aDetail, {} };
}

Error Malformed(const std::string& aPath)
{
  return Error{ ResultCode::MalformedMessage,
                "the store's answer is malformed",
                aPath };
}

std::optional<uint64_t> VersionOf(const ResponseHeader& aHeader)
{
  const std::string tag = FieldText(aHeader, "ETag");
  return tag.size() > 2 ? ParseNumber(tag.substr(1, tag.size() - 2))
                        : std::nullopt;
}

} // namespace

/// One request to the store and its answer.
struct StoreClient::Exchange
{
  TextRequest mRequest;
  Duration mMaxIdleTime = std::chrono::seconds(15);
  Duration mExtraTime{};
  TextResponse mAnswer;
  /// True if bytes of the request may have reached the store.
  bool mSent = false;
  bool mAnswered = false;
  bool mIsTooLarge = false;
  std::string mFailure;
};

StoreClient::StoreClient(asio::any_io_executor aExecutor, Options aOptions)
  : mOptions(aOptions)
  , mPool(aExecutor, PoolOptions(aOptions))
  , mBackoff(aOptions.mBackoff, aOptions.mSeed)
{
}

void StoreClient::OnCallEnded(bool aAnswered)
{
  if (aAnswered) {
    mBackoff.Reset();
    mRetryPause = Duration::zero();
  } else {
    ++mCalls.mFailures;
    mRetryPause = mBackoff.Next();
  }
}

Awaitable<void> StoreClient::Run(Exchange& aExchange)
{
  aExchange.mRequest.set(http::field::host,
                         mOptions.mEndpoint.address().to_string());
  aExchange.mRequest.prepare_payload();
  const Duration timeout = mOptions.mRequestTimeout + aExchange.mExtraTime;
  auto acquired =
    co_await mPool.Acquire(mOptions.mEndpoint, aExchange.mMaxIdleTime);
  if (!acquired) {
    aExchange.mFailure = acquired.error().mDetail;
    OnCallEnded(false);
    co_return;
  }
  auto connection = std::move(acquired.value());
  aExchange.mSent = true;
  ErrorCode ec = co_await connection->Write(std::move(aExchange.mRequest),
                                            mOptions.mRequestTimeout);
  if (!ec) {
    ec = co_await connection->ReadHeader(timeout);
  }
  if (ec) {
    aExchange.mFailure = "no answer from the store: " + ec.message();
    OnCallEnded(false);
    co_return;
  }
  aExchange.mAnswer = TextResponse(ResponseHeader(connection->Header()));
  std::vector<char> buf(16 * 1024);
  for (;;) {
    auto n = co_await connection->ReadSome(
      buf.data(), buf.size(), mOptions.mRequestTimeout);
    auto& body = aExchange.mAnswer.body();
    aExchange.mIsTooLarge = n && body.size() + n.value() > kMaxAnswerBytes;
    if (!n || aExchange.mIsTooLarge) {
      aExchange.mFailure = n ? "the answer is too large" : n.error().mDetail;
      OnCallEnded(false);
      co_return;
    }
    if (n.value() == 0) {
      break;
    }
    body.append(buf.data(), n.value());
  }
  mPool.Release(mOptions.mEndpoint, std::move(connection));
  aExchange.mAnswered = aExchange.mAnswer.result_int() < 500;
  if (!aExchange.mAnswered) {
    aExchange.mFailure = "the store answered with status " +
                         std::to_string(aExchange.mAnswer.result_int());
  }
  OnCallEnded(aExchange.mAnswered);
}

Awaitable<Result<StoredObject>> StoreClient::Get(std::string aKind,
                                                 std::string aName)
{
  ++mCalls.mGets;
  const std::string path = ObjectPath(aKind, aName);
  Exchange exchange;
  exchange.mRequest = TextRequest(http::verb::get, path, 11);
  co_await Run(exchange);
  if (!exchange.mAnswered) {
    co_return Unavailable(exchange.mFailure);
  }
  if (exchange.mAnswer.result() == http::status::not_found) {
    co_return Error{ ResultCode::NotFound, "no such object", path };
  }
  const auto version = VersionOf(exchange.mAnswer);
  if (exchange.mAnswer.result() != http::status::ok || !version) {
    co_return Malformed(path);
  }
  StoredObject object;
  object.mName = std::move(aName);
  object.mVersion = *version;
  object.mValue = std::move(exchange.mAnswer.body());
  co_return object;
}

Awaitable<Result<StoreListing>> StoreClient::List(std::string aKind,
                                                  ReadFreshness /*aFreshness*/)
{
  ++mCalls.mLists;
  const std::string path = KindPath(aKind);
  Exchange exchange;
  exchange.mRequest = TextRequest(http::verb::get, path, 11);
  co_await Run(exchange);
  if (!exchange.mAnswered) {
    co_return Unavailable(exchange.mFailure);
  }
  const auto revision =
    ParseNumber(FieldText(exchange.mAnswer, "Pollenway-Revision"));
  const auto document =
    nlohmann::json::parse(exchange.mAnswer.body(), nullptr, false);
  if (exchange.mAnswer.result() != http::status::ok || !revision ||
      !document.is_array()) {
    co_return Malformed(path);
  }
  StoreListing listing;
  listing.mPosition.mRevision = *revision;
  try {
    for (const auto& it : document) {
      StoredObject object;
      object.mName = it.at("name");
      object.mVersion = it.at("version");
      object.mValue = it.at("value");
      listing.mObjects.push_back(std::move(object));
    }
  } catch (const nlohmann::json::exception&) {
    co_return Malformed(path);
  }
  co_return listing;
}

Awaitable<StoreWrite> StoreClient::Write(http::verb aMethod,
                                         std::string aPath,
                                         std::string aValue,
                                         StoreCondition aCondition)
{
  ++mCalls.mWrites;
  StoreWrite write;
  Exchange exchange;
  exchange.mRequest = TextRequest(aMethod, aPath, 11);
  exchange.mRequest.body() = std::move(aValue);
  exchange.mMaxIdleTime = kMaxIdleBeforeWrite;
  if (aCondition.mAbsent) {
    exchange.mRequest.set(http::field::if_none_match, "*");
  }
  if (aCondition.mVersion) {
    exchange.mRequest.set(http::field::if_match,
                          '"' + std::to_string(*aCondition.mVersion) + '"');
  }
  co_await Run(exchange);
  if (!exchange.mAnswered) {
    write.mOutcome =
      exchange.mSent ? WriteOutcome::Unknown : WriteOutcome::NotDone;
    write.mError = Unavailable(exchange.mFailure);
    co_return write;
  }
  const auto version = VersionOf(exchange.mAnswer);
  const auto status = exchange.mAnswer.result();
  if (status == http::status::ok && version) {
    write.mOutcome = WriteOutcome::Done;
    write.mVersion = *version;
  } else if (status == http::status::ok) {
    write.mOutcome = WriteOutcome::Unknown;
    write.mError = Malformed(aPath);
  } else if (status == http::status::precondition_failed) {
    write.mOutcome = WriteOutcome::Conflict;
    write.mError = Error{ ResultCode::Conflict,
                          "the object was changed by another writer",
                          aPath };
  } else if (status == http::status::not_found) {
    write.mOutcome = WriteOutcome::NotFound;
    write.mError = Error{ ResultCode::NotFound, "no such object", aPath };
  } else {
    write.mOutcome = WriteOutcome::NotDone;
    write.mError =
      Error{ status == http::status::payload_too_large ? ResultCode::TooLarge
                                                       : ResultCode::BadRequest,
             "the store rejected the write with status " +
               std::to_string(exchange.mAnswer.result_int()),
             aPath };
  }
  co_return write;
}

Awaitable<StoreWrite> StoreClient::Put(std::string aKind,
                                       std::string aName,
                                       std::string aValue,
                                       StoreCondition aCondition)
{
  if (aValue.size() > kMaxValueBytes) {
    StoreWrite write;
    write.mError = Error{ ResultCode::TooLarge,
                          "a value may have at most 1 MiB",
                          ObjectPath(aKind, aName) };
    co_return write;
  }
  std::string path = ObjectPath(aKind, aName);
  auto write = co_await Write(
    http::verb::put, std::move(path), std::move(aValue), aCondition);
  co_return write;
}

Awaitable<StoreWrite> StoreClient::Delete(std::string aKind,
                                          std::string aName,
                                          StoreCondition aCondition)
{
  std::string path = ObjectPath(aKind, aName);
  std::string emptyBody;
  auto write = co_await Write(
    http::verb::delete_, std::move(path), std::move(emptyBody), aCondition);
  co_return write;
}

Awaitable<Result<StoreChanges>> StoreClient::Watch(std::string aKind,
                                                   StorePosition aAfter,
                                                   Duration aTimeout)
{
  ++mCalls.mWatches;
  const auto ms =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTimeout);
  const std::string kind = aKind.empty() ? "" : "/" + PercentEncode(aKind);
  const std::string path = "/v1/watch" + kind +
                           "?after=" + std::to_string(aAfter.mRevision) +
                           "&timeout_ms=" + std::to_string(ms.count());
  Exchange exchange;
  exchange.mRequest = TextRequest(http::verb::get, path, 11);
  exchange.mExtraTime = aTimeout;
  co_await Run(exchange);
  if (exchange.mIsTooLarge) {
    // The same watch would get the same answer again.
    co_return Error{ ResultCode::InvalidState, exchange.mFailure, path };
  }
  if (!exchange.mAnswered) {
    co_return Unavailable(exchange.mFailure);
  }
  if (exchange.mAnswer.result() == http::status::gone) {
    co_return Error{ ResultCode::InvalidState,
                     "the store has no history after revision " +
                       std::to_string(aAfter.mRevision),
                     path };
  }
  const auto document =
    nlohmann::json::parse(exchange.mAnswer.body(), nullptr, false);
  if (exchange.mAnswer.result() != http::status::ok || !document.is_object()) {
    co_return Malformed(path);
  }
  StoreChanges changes;
  try {
    changes.mPosition.mRevision = document.at("revision");
    for (const auto& it : document.at("changes")) {
      StoreChange change;
      change.mKind = it.at("kind");
      change.mName = it.at("name");
      change.mVersion = it.at("version");
      if (!it.value("deleted", false)) {
        change.mValue = it.at("value").get<std::string>();
      }
      changes.mChanges.push_back(std::move(change));
    }
  } catch (const nlohmann::json::exception&) {
    co_return Malformed(path);
  }
  co_return changes;
}

Awaitable<Result<std::vector<ListedInstance>>> StoreClient::ListInstances()
{
  ++mCalls.mInstanceLists;
  const std::string path = "/v1/instances";
  Exchange exchange;
  exchange.mRequest = TextRequest(http::verb::get, path, 11);
  co_await Run(exchange);
  if (!exchange.mAnswered) {
    co_return Unavailable(exchange.mFailure);
  }
  const auto document =
    nlohmann::json::parse(exchange.mAnswer.body(), nullptr, false);
  if (exchange.mAnswer.result() != http::status::ok || !document.is_array()) {
    co_return Malformed(path);
  }
  std::vector<ListedInstance> instances;
  try {
    for (const auto& it : document) {
      ListedInstance instance;
      instance.mName = it.at("name");
      instance.mState = it.at("state");
      instances.push_back(std::move(instance));
    }
  } catch (const nlohmann::json::exception&) {
    co_return Malformed(path);
  }
  co_return instances;
}

} // namespace pollenway
