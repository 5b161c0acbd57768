#pragma once

#include "IpEndpoint.h"
#include "Time.h"

#include <map>
#include <vector>

namespace pollenway {

/// Endpoints at which instances may exist that this one has not heard of:
/// seeds, entries of rosters and of the store, and instances that have gone
/// silent, which may be cut off. They are contacted at growing intervals, so
/// that parts of a deployment that were separated find each other again.
class ContactList
{
public:
  static constexpr Duration kInitialInterval = std::chrono::milliseconds(400);
  static constexpr Duration kMaxInterval = std::chrono::seconds(30);
  /// Time after which a contact that never answers is dropped.
  static constexpr Duration kRetention = std::chrono::hours(2);
  /// Maximum number of contacts; further ones are ignored.
  static constexpr size_t kMaxContacts = 512;

  /// Returns false if the contact was known or there are too many.
  bool Add(const IpEndpoint& aEndpoint, TimePoint aNow);
  /// Removes a contact that has answered.
  void Remove(const IpEndpoint& aEndpoint) { mContacts.erase(aEndpoint); }
  /// Returns the contacts to be contacted now.
  std::vector<IpEndpoint> TakeDue(TimePoint aNow);
  size_t Size() const { return mContacts.size(); }

private:
  struct Contact
  {
    TimePoint mAddedAt{};
    TimePoint mNextAt{};
    Duration mInterval{};
  };

  std::map<IpEndpoint, Contact> mContacts;
};

} // namespace pollenway
