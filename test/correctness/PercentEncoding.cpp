#include "PercentEncoding.h"

#include <doctest/doctest.h>

using namespace pollenway;

// Guards against a text that changes the URL of which it is a part, or that
// another program reads as another text.
TEST_CASE("a text is a part of a URL without changing the rest")
{
  struct Row
  {
    std::string mText;
    std::string mEncoded;
  };
  const Row rows[] = {
    { "", "" },
    { "i-7f3a91c2", "i-7f3a91c2" },
    { "AZaz09-._~:", "AZaz09-._~:" },
    { "a&b=c", "a%26b%3Dc" },
    { "a+b c", "a%2Bb%20c" },
    { "50%", "50%25" },
    { "%zz", "%25zz" },
    { "a/b?c#d", "a%2Fb%3Fc%23d" },
    { "\r\nX: 1", "%0D%0AX:%201" },
    { std::string("\0\x01\x7f", 3), "%00%01%7F" },
    { "\xc3\xa4\xff", "%C3%A4%FF" },
  };
  for (const auto& it : rows) {
    CAPTURE(it.mEncoded);
    CHECK(PercentEncode(it.mText) == it.mEncoded);
    CHECK(PercentDecode(it.mEncoded) == it.mText);
  }
  CHECK(PercentDecode("%c3%A4") == "\xc3\xa4");
  CHECK(PercentDecode("a+b") == "a+b");
}

// Guards against a text that is read although a part of it is missing.
TEST_CASE("an incomplete escape is no text")
{
  for (const char* text : { "%", "a%2", "%zz", "%2g", "%-1", "%+1", "% 1" }) {
    CAPTURE(text);
    CHECK_FALSE(PercentDecode(text));
  }
}
