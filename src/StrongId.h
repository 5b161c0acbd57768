#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace pollenway {

/// A name whose type differs for each kind of name, so that the compiler
/// rejects a name of another kind. `Tag` is an incomplete type that identifies
/// the kind.
template<typename Tag>
class StrongId
{
public:
  StrongId() = default;
  explicit StrongId(std::string aText)
    : mText(std::move(aText))
  {
  }

  const std::string& Text() const { return mText; }
  bool IsEmpty() const { return mText.empty(); }

  auto operator<=>(const StrongId&) const = default;

  friend std::ostream& operator<<(std::ostream& aOut, const StrongId& aId)
  {
    return aOut << aId.mText;
  }

private:
  std::string mText;
};

} // namespace pollenway

template<typename Tag>
struct std::hash<pollenway::StrongId<Tag>>
{
  size_t operator()(const pollenway::StrongId<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.Text());
  }
};
