#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pollenway {

/// Chooses the names after which the pages of a listing begin.
///
/// Any writer may have chosen the last name of a page, and the store may refuse
/// to continue after it, or read it as another one. The cursor then goes back
/// to an earlier name of the page, so that the next page repeats some objects.
/// It assumes that the store orders names by their bytes only for names that no
/// target, zone or instance can have.
class ListingCursor
{
public:
  /// Names of targets, zones and instances are much shorter. An escaped name
  /// of this size fits into the request line of common web servers.
  static constexpr size_t kMaxNameBytes = 1024;

  /// Returns the name after which the page begins; empty for the first page.
  const std::string& After() const { return mAfter; }
  /// Adds the name of an object of the page.
  void Add(const std::string& aName);
  /// Moves on to the next page. If the page had no new name, tries to continue
  /// the page before it in another way. Returns false if there is no such way.
  bool Advance();
  /// Continues the page before in another way, because the store refuses
  /// `After()`. Returns false if there is none.
  bool StepBack();

private:
  std::set<std::string> mSeen;
  std::vector<std::string> mPage;
  bool mHasNewName = false;
  /// Names with which the next page may begin, the best one last.
  std::vector<std::string> mCandidates;
  std::string mAfter;
};

} // namespace pollenway
