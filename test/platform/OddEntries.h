#pragma once

#include "StoreStandIn.h"

#include <string>
#include <vector>

namespace pollenway {

/// An entry of another writer that names no target to use.
struct OddEntry
{
  std::string mCase;
  /// Text of the spec; empty if the metadata are odd.
  std::string mSpec;
  nlohmann::json mMetadata = nullptr;

  void SetAt(StoreStandIn& aStore,
             const std::string& aKind,
             const std::string& aName) const
  {
    if (mSpec.empty()) {
      aStore.SetMetadata(aKind, aName, mMetadata);
    } else {
      aStore.SetRaw(aKind, aName, mSpec);
    }
  }
};

/// Returns the text of a target's record with one member replaced or added.
inline std::string RecordWith(const std::string& aMember,
                              const std::string& aText)
{
  std::string out;
  const std::pair<std::string, std::string> members[] = {
    { "service", "\"s\"" },    { "address", "\"127.0.0.1:9\"" },
    { "zone", "\"z\"" },       { "version", "\"v1\"" },
    { "slots", "4" },          { "state", "\"ready\"" },
    { "coldRemainingS", "0" }, { "sequence", "1" },
  };
  for (const auto& [name, value] : members) {
    if (name != aMember) {
      out += (out.empty() ? "\"" : ",\"") + name + "\":" + value;
    }
  }
  return "{" + out + ",\"" + aMember + "\":" + aText + "}";
}

inline std::string Repeated(const std::string& aText, size_t aCount)
{
  std::string out;
  out.reserve(aText.size() * aCount);
  for (size_t n = 0; n < aCount; ++n) {
    out += aText;
  }
  return out;
}

inline std::vector<OddEntry> OddEntries()
{
  // A value of the store is at most 1 MB.
  constexpr size_t kDepth = 400'000;
  const std::string deepArray = Repeated("[", kDepth) + Repeated("]", kDepth);
  const std::string deepObject =
    Repeated("{\"a\":", 120'000) + "1" + Repeated("}", 120'000);
  return {
    { "deeply nested arrays", deepArray },
    { "deeply nested objects", deepObject },
    { "deeply nested member", RecordWith("note", deepArray) },
    { "slots beyond a double", RecordWith("slots", "1e999") },
    { "slots beyond an integer", RecordWith("slots", "1e300") },
    { "slots beyond 32 bits", RecordWith("slots", "4294967297") },
    { "slots with many digits", RecordWith("slots", Repeated("9", 500)) },
    { "start beyond a double", RecordWith("born", "1e999") },
    { "start beyond 64 bits", RecordWith("born", "99999999999999999999") },
    { "sequence beyond a double", RecordWith("sequence", "-1e999") },
    { "cold time beyond a double", RecordWith("coldRemainingS", "1e400") },
    { "cold time beyond a duration", RecordWith("coldRemainingS", "1e300") },
    { "port out of range", RecordWith("address", "\"127.0.0.1:70000\"") },
    { "port beyond 64 bits",
      RecordWith("address", "\"127.0.0.1:99999999999999999999\"") },
    { "port 0", RecordWith("address", "\"127.0.0.1:0\"") },
    { "negative port", RecordWith("address", "\"127.0.0.1:-1\"") },
    { "not UTF-8", RecordWith("service", "\"s\xff\xfe\"") },
    { "half of a surrogate pair", RecordWith("service", "\"s\\ud800\"") },
    { "a control character", RecordWith("service", "\"s\x01\"") },
    { "not a number", RecordWith("slots", "NaN") },
    { "a large entry",
      RecordWith("service", "\"" + Repeated("s", 990'000) + "\"") },
    { "metadata of another type", "", "odd" },
    { "no metadata", "", nullptr },
    { "no name", "", { { "name", nullptr } } },
    { "no revision", "", { { "revision", nullptr } } },
    { "a revision of another type", "", { { "revision", "new" } } },
    { "a negative revision", "", { { "revision", -1 } } },
    { "a revision beyond 64 bits", "", { { "revision", 1e300 } } },
  };
}

/// Returns names that are not a part of a URL as they are, or that name another
/// object when they are not escaped.
inline std::vector<std::string> OddNames()
{
  return {
    "m&b",
    "m&after=zz",
    "m&staleOk=1",
    "m#b",
    "m+b",
    "m%",
    "m%00",
    "m%zz",
    "m b",
    "m ",
    "m\tb",
    "m\nb",
    "m\rb",
    "m\r\nX-Odd: 1",
    "m HTTP/1.1\r\n\r\nGET /objects/odd HTTP/1.1\r\nX-Odd: 1",
    std::string("m\0b", 3),
    "m\x01",
    "m\x7f",
    "m\xc3\xa4",
    "m\xe6\x97\xa5\xe6\x9c\xac",
    "m/../b",
    "m?b",
    "m=b",
    "m;b",
    "m\"b",
    "m\\b",
    "m'b",
    "m<b>",
  };
}

} // namespace pollenway
