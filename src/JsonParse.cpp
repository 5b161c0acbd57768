#include "JsonParse.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_set>

namespace pollenway {

namespace {

using nlohmann::json;

constexpr size_t kLongestQuote = 80;

bool IsControl(char aChar)
{
  return static_cast<unsigned char>(aChar) < 0x20 || aChar == 0x7f;
}

// Follows the parser's events to know the path of the current value.
class DuplicateCheck
{
public:
  explicit DuplicateCheck(std::vector<Error>& aErrors)
    : mErrors(aErrors)
  {
  }

  bool operator()(json::parse_event_t aEvent, const json& aParsed)
  {
    switch (aEvent) {
      case json::parse_event_t::object_start:
      case json::parse_event_t::array_start:
        CountElement();
        mLevels.emplace_back().mIsArray =
          aEvent == json::parse_event_t::array_start;
        break;
      case json::parse_event_t::object_end:
      case json::parse_event_t::array_end:
        mLevels.pop_back();
        break;
      case json::parse_event_t::key:
        EnterMember(aParsed.get_ref<const std::string&>());
        break;
      case json::parse_event_t::value:
        CountElement();
        break;
    }
    return true;
  }

  std::string Path() const
  {
    std::string result;
    for (const auto& it : mLevels) {
      const std::string element =
        std::to_string(it.mElements == 0 ? 0 : it.mElements - 1);
      result = ChildPath(result, it.mIsArray ? element : it.mMember);
    }
    return result.empty() ? std::string(kDocumentPath) : result;
  }

private:
  struct Level
  {
    bool mIsArray = false;
    size_t mElements = 0;
    std::string mMember;
    std::unordered_set<std::string> mMembers;
  };

  void CountElement()
  {
    if (!mLevels.empty() && mLevels.back().mIsArray) {
      ++mLevels.back().mElements;
    }
  }

  void EnterMember(const std::string& aName)
  {
    Level& level = mLevels.back();
    level.mMember = aName;
    if (!level.mMembers.insert(aName).second) {
      mErrors.push_back({ ResultCode::Duplicate,
                          "the member appears more than once in its object",
                          Path() });
    }
  }

  std::vector<Error>& mErrors;
  std::vector<Level> mLevels;
};

// The library's message without its exception tag and without the text last
// read, which may be long or not valid UTF-8.
std::string MessageOf(const json::exception& aException)
{
  std::string_view text = aException.what();
  text.remove_prefix(std::min(text.size(), text.find("] ") + 2));
  return std::string(text.substr(0, text.find("; last read")));
}

} // namespace

bool ParseJson(std::string_view aText,
               nlohmann::json& aDocument,
               std::vector<Error>& aErrors)
{
  DuplicateCheck check(aErrors);
  try {
    aDocument =
      json::parse(aText.begin(),
                  aText.end(),
                  [&](int, json::parse_event_t aEvent, const json& aParsed) {
                    return check(aEvent, aParsed);
                  });
    return true;
  } catch (const json::parse_error& error) {
    aErrors.push_back({ ResultCode::SyntaxError,
                        MessageOf(error),
                        std::string(kDocumentPath) });
  } catch (const json::exception& error) {
    aErrors.push_back(
      { ResultCode::OutOfRange, MessageOf(error), check.Path() });
  }
  return false;
}

std::string ChildPath(std::string_view aParent, std::string_view aName)
{
  std::string result(aParent == kDocumentPath ? std::string_view() : aParent);
  result += '/';
  for (const char it : aName) {
    if (it == '~') {
      result += "~0";
    } else if (it == '/') {
      result += "~1";
    } else {
      result += IsControl(it) ? '?' : it;
    }
  }
  return result;
}

std::string Quoted(std::string_view aText)
{
  std::string result = "\"";
  for (const char it : aText.substr(0, kLongestQuote)) {
    const bool plain = !IsControl(it) && static_cast<unsigned char>(it) < 0x80;
    result += plain ? it : '?';
  }
  return result + (aText.size() > kLongestQuote ? "...\"" : "\"");
}

} // namespace pollenway
