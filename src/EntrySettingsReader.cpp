#include "EntrySettingsReader.h"

#include "JsonFields.h"
#include "JsonNames.h"
#include "JsonParse.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace pollenway {

namespace {

using namespace std::chrono_literals;

// Leaves room for headers and keys: an answer is sent to the backup in one peer
// message of at most 1 MiB.
constexpr uint64_t kMaxBufferedAnswerBytes = 512 * 1024;

constexpr EnumText<CutOffKeyPolicy::Mode> kCutOffKeyPolicyTexts[] = {
  { "serve", CutOffKeyPolicy::Mode::Serve },
  { "refuse", CutOffKeyPolicy::Mode::Refuse },
};

constexpr EnumText<LogLevel> kLogLevelTexts[] = {
  { "trace", LogLevel::Trace }, { "debug", LogLevel::Debug },
  { "info", LogLevel::Info },   { "warn", LogLevel::Warn },
  { "error", LogLevel::Error },
};

uint16_t OptionalPort(JsonFields& aFields,
                      std::string_view aName,
                      uint16_t aDefault)
{
  return static_cast<uint16_t>(
    aFields.OptionalInteger(aName, aDefault, 1, 65535));
}

IpEndpoint RequiredEndpoint(JsonFields& aFields, std::string_view aPortName)
{
  return {
    .mAddress = RequiredAddress(aFields, "address"),
    .mPort =
      static_cast<uint16_t>(aFields.RequiredInteger(aPortName, 1, 65535)),
  };
}

std::string ReadAdminAddress(JsonFields& aFields, std::string aDefault)
{
  if (!aFields.Has("admin_address")) {
    return aDefault;
  }
  const auto text = aFields.TryString("admin_address");
  if (text && !NetworkPrefix::ParseAddress(*text)) {
    aFields.Fail(ResultCode::OutOfRange,
                 "admin_address",
                 Quoted(*text) + " is not an IP address");
  }
  return text.value_or("");
}

std::vector<IpEndpoint> ReadSeeds(JsonFields& aFields)
{
  std::vector<IpEndpoint> result;
  aFields.OptionalObjects("seeds", [&](JsonFields& aSeed) {
    const IpEndpoint seed = RequiredEndpoint(aSeed, "peer_port");
    if (!seed.mAddress.empty() &&
        std::find(result.begin(), result.end(), seed) != result.end()) {
      aSeed.Fail(
        ResultCode::Duplicate, "address", "the seed is already listed");
    }
    result.push_back(seed);
  });
  return result;
}

std::vector<NetworkPrefix> ReadTrustedResolvers(JsonFields& aFields)
{
  std::vector<NetworkPrefix> result;
  aFields.OptionalStrings(
    "trusted_resolvers", [&](size_t aIndex, const std::string& aText) {
      const auto prefix = NetworkPrefix::Parse(aText);
      if (!prefix) {
        aFields.FailElement(ResultCode::OutOfRange,
                            "trusted_resolvers",
                            aIndex,
                            Quoted(aText) + " is not a CIDR prefix whose "
                                            "host bits are all zero");
      } else if (std::find(result.begin(), result.end(), *prefix) !=
                 result.end()) {
        aFields.FailElement(ResultCode::Duplicate,
                            "trusted_resolvers",
                            aIndex,
                            Quoted(aText) + " is already listed");
      } else {
        result.push_back(*prefix);
      }
    });
  return result;
}

void CheckPorts(JsonFields& aFields, const EntrySettings& aSettings)
{
  struct Listener
  {
    const char* mField;
    uint16_t mPort;
    std::string mAddress;
  };
  const Listener listeners[] = {
    { "caller_port", aSettings.mCallerPort, aSettings.mAddress },
    { "peer_port", aSettings.mPeerPort, aSettings.mAddress },
    { "relay_port", aSettings.mRelayPort, aSettings.mAddress },
    { "admin_port", aSettings.mAdminPort, aSettings.mAdminAddress },
  };
  for (const auto& it : listeners) {
    for (const auto* other = listeners; other != &it; ++other) {
      if (it.mPort == other->mPort && it.mAddress == other->mAddress) {
        aFields.Fail(ResultCode::Conflict,
                     it.mField,
                     std::string("is the same port as \"") + other->mField +
                       "\"");
        break;
      }
    }
  }
}

} // namespace

Validated<EntrySettings> EntrySettingsReader::Read(std::string_view aText)
{
  std::vector<Error> errors;
  nlohmann::json document;
  if (!ParseJson(aText, document, errors)) {
    return errors;
  }
  EntrySettings result;
  JsonFields fields(document, std::string(kDocumentPath), errors);
  result.mName = RequiredName<InstanceName>(fields, "name");
  result.mZone = RequiredName<ZoneName>(fields, "zone");
  result.mAddress = RequiredAddress(fields, "address");
  result.mCallerPort = OptionalPort(fields, "caller_port", result.mCallerPort);
  result.mPeerPort = OptionalPort(fields, "peer_port", result.mPeerPort);
  result.mRelayPort = OptionalPort(fields, "relay_port", result.mRelayPort);
  result.mAdminPort = OptionalPort(fields, "admin_port", result.mAdminPort);
  result.mAdminAddress = ReadAdminAddress(fields, result.mAdminAddress);
  fields.RequiredObject("platform", [&](JsonFields& aPlatform) {
    result.mPlatform = RequiredEndpoint(aPlatform, "port");
  });
  result.mSeeds = ReadSeeds(fields);
  if (fields.Has("seed")) {
    result.mRandomSeed = fields.OptionalInteger(
      "seed", 0, 0, std::numeric_limits<uint64_t>::max());
  }
  result.mCutOffKeyPolicy = fields.OptionalEnum(
    "cut_off_key_policy", result.mCutOffKeyPolicy, kCutOffKeyPolicyTexts);
  result.mTrustedResolvers = ReadTrustedResolvers(fields);
  result.mDrainTimeout = fields.OptionalMilliseconds(
    "drain_timeout_ms", result.mDrainTimeout, 1s, 24h);
  result.mRecordRetention = fields.OptionalMilliseconds(
    "record_retention_ms", result.mRecordRetention, 1s, 24h);
  result.mMaxBufferedAnswerBytes =
    fields.OptionalInteger("max_buffered_answer_bytes",
                           result.mMaxBufferedAnswerBytes,
                           0,
                           kMaxBufferedAnswerBytes);
  result.mLogLevel =
    fields.OptionalEnum("log_level", result.mLogLevel, kLogLevelTexts);
  CheckPorts(fields, result);
  fields.Finish();
  if (!errors.empty()) {
    return errors;
  }
  return result;
}

} // namespace pollenway
