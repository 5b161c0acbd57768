#include "InventoryReader.h"

#include "InventoryRules.h"
#include "InventoryTexts.h"
#include "JsonFields.h"
#include "JsonNames.h"
#include "JsonParse.h"
#include "NetworkPrefix.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pollenway {

namespace {

using namespace std::chrono_literals;

// The largest integer that JSON tools based on doubles represent exactly.
constexpr uint64_t kMaxGeneration = 9007199254740991;
constexpr double kMaxDeclaredRate = 1e9;
constexpr double kMaxBitsPerSecond = 1e13;
constexpr double kMaxLatencyMs = 60000;
constexpr double kMinWorkspaceWeight = 0.001;
constexpr double kMaxWorkspaceWeight = 1000;
constexpr double kMinStepCap = 1e-6;
constexpr uint64_t kMaxQueueLimit = 65535;
constexpr uint64_t kMaxSlotsPerTarget = 100000;
constexpr uint64_t kMaxConnectionsPerTarget = 1000000;
constexpr size_t kMaxPathPrefixLength = 256;
constexpr size_t kMaxReasonLength = 200;
constexpr size_t kDigestLength = 64;
constexpr std::string_view kReservedPrefix = "/.pollenway";

Region ReadRegion(JsonFields& aFields)
{
  Region result;
  result.mName = RequiredName<RegionName>(aFields, "name");
  aFields.RequiredStrings(
    "zones", [&](size_t aIndex, const std::string& aText) {
      // Skipped elements stay empty, so that paths of later errors are correct.
      result.mZones.resize(aIndex + 1);
      if (IsValidName(aText)) {
        result.mZones.back() = ZoneName(aText);
      } else {
        aFields.FailElement(ResultCode::OutOfRange,
                            "zones",
                            aIndex,
                            Quoted(aText) + " is not a name");
      }
    });
  result.mCapacity =
    aFields.RequiredNumber("capacity_rps", 0, kMaxDeclaredRate);
  return result;
}

RegionLink ReadLink(JsonFields& aFields)
{
  return {
    .mFrom = RequiredName<RegionName>(aFields, "from"),
    .mTo = RequiredName<RegionName>(aFields, "to"),
    .mBitsPerSecond =
      aFields.RequiredNumber("bits_per_second", 1, kMaxBitsPerSecond),
    .mLatencyMs = aFields.RequiredNumber("latency_ms", 0, kMaxLatencyMs),
  };
}

Place ReadPlace(JsonFields& aFields)
{
  return {
    .mName = RequiredName<PlaceName>(aFields, "name"),
    .mZone = RequiredName<ZoneName>(aFields, "zone"),
    .mState = aFields.OptionalEnum("state", Lifecycle::Live, kLifecycleTexts),
    .mSuccessor = OptionalName<PlaceName>(aFields, "successor"),
  };
}

bool IsPathCharacter(char aChar)
{
  return aChar > ' ' && aChar < 0x7f && aChar != '?' && aChar != '#' &&
         aChar != '"' && aChar != '\\';
}

bool IsPathPrefix(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxPathPrefixLength &&
         aText[0] == '/' &&
         std::all_of(aText.begin(), aText.end(), IsPathCharacter);
}

bool IsMethod(std::string_view aText)
{
  return !aText.empty() && aText.size() <= 16 &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return aChar >= 'A' && aChar <= 'Z';
         });
}

Route ReadRoute(JsonFields& aFields)
{
  Route result;
  if (const auto prefix = aFields.TryString("path_prefix")) {
    if (!IsPathPrefix(*prefix)) {
      aFields.Fail(ResultCode::OutOfRange,
                   "path_prefix",
                   Quoted(*prefix) +
                     " is not a path that starts with \"/\" and has no query");
    } else if (prefix->starts_with(kReservedPrefix)) {
      aFields.Fail(ResultCode::Conflict,
                   "path_prefix",
                   "paths under " + Quoted(kReservedPrefix) + " are reserved");
    } else {
      result.mPathPrefix = *prefix;
    }
  }
  auto& methods = result.mMethods;
  aFields.OptionalStrings(
    "methods", [&](size_t aIndex, const std::string& aText) {
      if (!IsMethod(aText)) {
        aFields.FailElement(ResultCode::OutOfRange,
                            "methods",
                            aIndex,
                            Quoted(aText) +
                              " is not a method in capital letters");
      } else if (std::find(methods.begin(), methods.end(), aText) !=
                 methods.end()) {
        aFields.FailElement(ResultCode::Duplicate,
                            "methods",
                            aIndex,
                            Quoted(aText) + " appears more than once");
      } else {
        methods.push_back(aText);
      }
    });
  result.mAccess =
    aFields.OptionalEnum("access", RouteAccess::Keyed, kRouteAccessTexts);
  result.mExecution = aFields.OptionalEnum(
    "execution", RouteExecution::AtMostOnce, kRouteExecutionTexts);
  return result;
}

Service ReadService(JsonFields& aFields)
{
  Service result;
  result.mName = RequiredName<ServiceName>(aFields, "name");
  result.mTimeout =
    aFields.OptionalMilliseconds("timeout_ms", result.mTimeout, 1ms, 1h);
  result.mLookupTtl =
    aFields.OptionalMilliseconds("lookup_ttl_ms", result.mLookupTtl, 1ms, 1h);
  result.mIdleTimeout = aFields.OptionalMilliseconds(
    "idle_timeout_ms", result.mIdleTimeout, 1ms, 1h);
  result.mQueueLimit = static_cast<unsigned>(aFields.OptionalInteger(
    "queue_limit", result.mQueueLimit, 0, kMaxQueueLimit));
  aFields.RequiredObjects("routes", [&](JsonFields& aRoute) {
    result.mRoutes.push_back(ReadRoute(aRoute));
  });
  return result;
}

Target ReadTarget(JsonFields& aFields)
{
  const Target defaults;
  return {
    .mName = RequiredName<TargetName>(aFields, "name"),
    .mService = RequiredName<ServiceName>(aFields, "service"),
    .mPlace = RequiredName<PlaceName>(aFields, "place"),
    .mAddress = RequiredAddress(aFields, "address"),
    .mPort = static_cast<uint16_t>(aFields.RequiredInteger("port", 1, 65535)),
    .mSlots = static_cast<unsigned>(
      aFields.RequiredInteger("slots", 1, kMaxSlotsPerTarget)),
    .mConnections = static_cast<unsigned>(aFields.OptionalInteger(
      "connections", defaults.mConnections, 1, kMaxConnectionsPerTarget)),
    .mState = aFields.OptionalEnum("state", Lifecycle::Live, kLifecycleTexts),
  };
}

Workspace ReadWorkspace(JsonFields& aFields)
{
  return {
    .mName = RequiredName<WorkspaceName>(aFields, "name"),
    .mRate = aFields.RequiredNumber("rate", 0, kMaxDeclaredRate),
    .mBurst = aFields.RequiredNumber("burst", 0, kMaxDeclaredRate),
    .mWeight = aFields.OptionalNumber(
      "weight", 1, kMinWorkspaceWeight, kMaxWorkspaceWeight),
  };
}

std::string ReadDigest(JsonFields& aFields)
{
  const auto text = aFields.TryString("digest");
  std::string result = text.value_or("");
  for (char& it : result) {
    it = it >= 'A' && it <= 'F' ? static_cast<char>(it - 'A' + 'a') : it;
  }
  if (text &&
      (result.size() != kDigestLength ||
       result.find_first_not_of("0123456789abcdef") != std::string::npos)) {
    // The message omits the text, which may be a key pasted in its place.
    aFields.Fail(ResultCode::OutOfRange,
                 "digest",
                 "must be a SHA-256 digest of 64 hexadecimal digits");
    return "";
  }
  return result;
}

TenantKey ReadKey(JsonFields& aFields)
{
  return {
    .mId = RequiredName<KeyId>(aFields, "id"),
    .mWorkspace = RequiredName<WorkspaceName>(aFields, "workspace"),
    .mDigest = ReadDigest(aFields),
    .mWithdrawn = aFields.OptionalBool("withdrawn", false),
  };
}

ClientBlock ReadClientBlock(JsonFields& aFields)
{
  ClientBlock result;
  if (const auto prefix = aFields.TryString("prefix")) {
    if (NetworkPrefix::Parse(*prefix)) {
      result.mPrefix = *prefix;
    } else {
      aFields.Fail(ResultCode::OutOfRange,
                   "prefix",
                   Quoted(*prefix) +
                     " is not a CIDR prefix whose host bits are all zero");
    }
  }
  result.mRegion = RequiredName<RegionName>(aFields, "region");
  return result;
}

ShiftDeclaration ReadShift(JsonFields& aFields)
{
  ShiftDeclaration result;
  result.mName = RequiredName<ShiftName>(aFields, "name");
  result.mService = RequiredName<ServiceName>(aFields, "service");
  result.mFrom = RequiredName<RegionName>(aFields, "from");
  result.mTo = RequiredName<RegionName>(aFields, "to");
  result.mShare = aFields.OptionalNumber("share", result.mShare, 0, 1);
  result.mStepCap =
    aFields.OptionalNumber("step_cap", result.mStepCap, kMinStepCap, 1);
  // Required, because a shift without a rate cap could overload a region.
  result.mRateCap = aFields.RequiredNumber("rate_cap", 0, kMaxDeclaredRate);
  result.mFinalShare =
    aFields.OptionalNumber("final_share", result.mFinalShare, 0, 1);
  result.mPace =
    aFields.OptionalMilliseconds("pace_ms", result.mPace, 0ms, 24h);
  result.mMaxErrorShare =
    aFields.OptionalNumber("max_error_share", result.mMaxErrorShare, 0, 1);
  result.mMinHeadroom =
    aFields.OptionalNumber("min_headroom", result.mMinHeadroom, 0, 1);
  result.mState =
    aFields.OptionalEnum("state", result.mState, kShiftStateTexts);
  result.mReason = aFields.OptionalString("reason");
  if (result.mReason.size() > kMaxReasonLength) {
    aFields.Fail(ResultCode::OutOfRange,
                 "reason",
                 "must have at most " + std::to_string(kMaxReasonLength) +
                   " bytes");
  }
  return result;
}

template<typename Element>
void ReadList(JsonFields& aFields,
              std::string_view aName,
              std::vector<Element>& aList,
              Element (*aRead)(JsonFields&))
{
  aFields.RequiredObjects(
    aName, [&](JsonFields& aElement) { aList.push_back(aRead(aElement)); });
}

} // namespace

Validated<Inventory> InventoryReader::Read(std::string_view aText)
{
  std::vector<Error> errors;
  nlohmann::json document;
  if (!ParseJson(aText, document, errors)) {
    return errors;
  }
  Inventory result;
  JsonFields fields(document, std::string(kDocumentPath), errors);
  result.mGeneration =
    fields.OptionalInteger("generation", 0, 0, kMaxGeneration);
  // The lists are required, so that omitting one by mistake does not remove all
  // its elements.
  ReadList(fields, "regions", result.mRegions, ReadRegion);
  ReadList(fields, "links", result.mLinks, ReadLink);
  ReadList(fields, "places", result.mPlaces, ReadPlace);
  ReadList(fields, "services", result.mServices, ReadService);
  ReadList(fields, "targets", result.mTargets, ReadTarget);
  ReadList(fields, "workspaces", result.mWorkspaces, ReadWorkspace);
  ReadList(fields, "keys", result.mKeys, ReadKey);
  ReadList(fields, "client_blocks", result.mClientBlocks, ReadClientBlock);
  ReadList(fields, "shifts", result.mShifts, ReadShift);
  fields.Finish();
  for (auto& it : CheckInventoryRules(result)) {
    errors.push_back(std::move(it));
  }
  if (!errors.empty()) {
    return errors;
  }
  return result;
}

} // namespace pollenway
