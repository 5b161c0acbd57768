#include "LogValue.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against a name of another writer that ends a log line, begins another
// field, or changes the terminal that shows it.
TEST_CASE("a value of a log line is one word or a quoted text")
{
  struct Row
  {
    std::string mValue;
    std::string mText;
  };
  const Row rows[] = {
    { "i-1", "i-1" },
    { "a\\b", "a\\b" },
    { "\xc3\xa4", "\xc3\xa4" },
    { "", "\"\"" },
    { "a b", "\"a b\"" },
    { "a=b", "\"a=b\"" },
    { "a\"b\\", "\"a\\\"b\\\\\"" },
    { "a\r\nevent=x", "\"a  event=x\"" },
    { "\x1b[2J", "\" [2J\"" },
    { std::string("a\0b", 3), "\"a b\"" },
    { "a\tb\x7f", "\"a b \"" },
  };
  for (const auto& it : rows) {
    CAPTURE(it.mText);
    CHECK(FormatLogValue(it.mValue) == it.mText);
  }
}
