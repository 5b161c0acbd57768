#include "ListingCursor.h"

#include "ControlCharacter.h"

#include <algorithm>

namespace pollenway {

namespace {

/// Maximum number of ways in which one page is continued: each is a call.
constexpr size_t kMaxCandidates = 4;
/// The last characters of UTF-8 and of its control characters.
constexpr std::string_view kLastCharacter = "\xf4\x8f\xbf\xbf";
constexpr std::string_view kAfterDelete = "\xc2\x80";

bool CanBeSent(std::string_view aName)
{
  return !aName.empty() && aName.size() <= ListingCursor::kMaxNameBytes;
}

/// Returns the size of the longest prefix of whole characters that is not too
/// long for a name.
size_t CutSize(std::string_view aName)
{
  size_t n = std::min(aName.size(), ListingCursor::kMaxNameBytes);
  const auto isContinuation = [&](size_t aAt) {
    return (static_cast<unsigned char>(aName[aAt]) & 0xc0) == 0x80;
  };
  while (n > 0 && n < aName.size() && isContinuation(n)) {
    --n;
  }
  return n;
}

/// Returns a text behind an unusable name, with only unusable names between the
/// two: names that are empty or too long, or that have a control character.
/// Empty if the name is usable.
std::string TextBehind(std::string_view aName)
{
  if (aName.empty()) {
    return " ";
  }
  const auto control =
    std::find_if(aName.begin(), aName.end(), IsControlCharacter);
  const auto n = size_t(control - aName.begin());
  if (n < std::min(aName.size(), ListingCursor::kMaxNameBytes)) {
    return std::string(aName.substr(0, n)) +
           std::string(*control == 0x7f ? kAfterDelete : " ");
  }
  if (aName.size() > ListingCursor::kMaxNameBytes) {
    return std::string(aName.substr(0, CutSize(aName))) +
           std::string(kLastCharacter);
  }
  return {};
}

} // namespace

void ListingCursor::Add(const std::string& aName)
{
  mPage.push_back(aName);
  const bool isNew = mSeen.insert(aName).second;
  mHasNewName = mHasNewName || isNew;
}

bool ListingCursor::Advance()
{
  if (mHasNewName) {
    mCandidates.clear();
    for (auto it = mPage.rbegin();
         it != mPage.rend() && mCandidates.size() < kMaxCandidates;
         ++it) {
      if (CanBeSent(*it)) {
        mCandidates.push_back(*it);
      }
      const std::string behind =
        it == mPage.rbegin() ? TextBehind(*it) : std::string();
      if (!behind.empty()) {
        mCandidates.push_back(behind);
      }
    }
    std::reverse(mCandidates.begin(), mCandidates.end());
  }
  mPage.clear();
  mHasNewName = false;
  return StepBack();
}

bool ListingCursor::StepBack()
{
  if (mCandidates.empty()) {
    return false;
  }
  mAfter = std::move(mCandidates.back());
  mCandidates.pop_back();
  return true;
}

} // namespace pollenway
