#include "LookupReason.h"

#include <cstdio>

namespace pollenway {

std::string_view Name(LookupReasonKind aKind)
{
  switch (aKind) {
    case LookupReasonKind::BlockMatched:
      return "block_matched";
    case LookupReasonKind::BlockUnknown:
      return "block_unknown";
    case LookupReasonKind::ServedBySuccessor:
      return "served_by_successor";
    case LookupReasonKind::MovedByShift:
      return "moved_by_shift";
    case LookupReasonKind::NotAdmitted:
      return "not_admitted";
    case LookupReasonKind::NoZoneHeadroom:
      return "no_zone_headroom";
    case LookupReasonKind::Chosen:
      return "chosen";
    case LookupReasonKind::AccountOwner:
      return "account_owner";
    case LookupReasonKind::PassedOver:
      return "passed_over";
    case LookupReasonKind::Refused:
      break;
  }
  return "refused";
}

std::string LookupReason::Text() const
{
  std::string out(Name(mKind));
  if (!mRegion.IsEmpty()) {
    out += " region=" + mRegion.Text();
  }
  if (!mZone.IsEmpty()) {
    out += " zone=" + mZone.Text();
  }
  char buf[32];
  std::snprintf(buf, sizeof buf, " value=%g", mValue);
  return out + buf;
}

} // namespace pollenway
