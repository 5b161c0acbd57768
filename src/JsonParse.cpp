#include "JsonParse.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_set>

namespace pollenway {

namespace {

using nlohmann::json;

constexpr size_t kMaxQuotedLength = 80;

bool IsControl(char aChar)
{
  return static_cast<unsigned char>(aChar) < 0x20 || aChar == 0x7f;
}

// Returns the library's message without its exception tag and without the last
// token read, which may be long or invalid UTF-8.
std::string MessageOf(const json::exception& aException)
{
  std::string_view text = aException.what();
  text.remove_prefix(std::min(text.size(), text.find("] ") + 2));
  return std::string(text.substr(0, text.find("; last read")));
}

// Handles the parser's SAX events to find repeated members and to track the
// path of the current value. The parser's callback interface could do this
// while it builds the document, but takes quadratic time in the length of
// arrays.
class DuplicateCheck : public json::json_sax_t
{
public:
  explicit DuplicateCheck(std::vector<Error>& aErrors)
    : mErrors(aErrors)
  {
  }

  // The library defines the names of these overrides.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() override { return CountElement(); }
  bool boolean(bool) override { return CountElement(); }
  bool number_integer(number_integer_t) override { return CountElement(); }
  bool number_unsigned(number_unsigned_t) override { return CountElement(); }
  bool number_float(number_float_t, const string_t&) override
  {
    return CountElement();
  }
  bool string(string_t&) override { return CountElement(); }
  bool binary(binary_t&) override { return CountElement(); }
  bool start_object(size_t) override { return Enter(false); }
  bool end_object() override { return Leave(); }
  bool start_array(size_t) override { return Enter(true); }
  bool end_array() override { return Leave(); }
  bool key(string_t& aName) override
  {
    EnterMember(aName);
    return true;
  }
  bool parse_error(size_t,
                   const std::string&,
                   const json::exception& aException) override
  {
    const bool isSyntax =
      dynamic_cast<const json::parse_error*>(&aException) != nullptr;
    mErrors.push_back(
      { isSyntax ? ResultCode::SyntaxError : ResultCode::OutOfRange,
        MessageOf(aException),
        isSyntax ? std::string(kDocumentPath) : Path() });
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

  std::string Path() const
  {
    std::string result;
    for (const auto& it : mLevels) {
      const std::string element =
        std::to_string(it.mElementCount == 0 ? 0 : it.mElementCount - 1);
      result = ChildPath(result, it.mIsArray ? element : it.mMember);
    }
    return result.empty() ? std::string(kDocumentPath) : result;
  }

private:
  struct Level
  {
    bool mIsArray = false;
    size_t mElementCount = 0;
    std::string mMember;
    std::unordered_set<std::string> mMembers;
  };

  bool CountElement()
  {
    if (!mLevels.empty() && mLevels.back().mIsArray) {
      ++mLevels.back().mElementCount;
    }
    return true;
  }

  bool Enter(bool aIsArray)
  {
    CountElement();
    mLevels.emplace_back().mIsArray = aIsArray;
    return true;
  }

  bool Leave()
  {
    mLevels.pop_back();
    return true;
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

} // namespace

bool ParseJson(std::string_view aText,
               nlohmann::json& aDocument,
               std::vector<Error>& aErrors)
{
  DuplicateCheck check(aErrors);
  if (!json::sax_parse(aText, &check)) {
    return false;
  }
  aDocument = json::parse(aText);
  return true;
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
  for (const char it : aText.substr(0, kMaxQuotedLength)) {
    const bool plain = !IsControl(it) && static_cast<unsigned char>(it) < 0x80;
    result += plain ? it : '?';
  }
  return result + (aText.size() > kMaxQuotedLength ? "...\"" : "\"");
}

} // namespace pollenway
