#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace pollenway {

/// One kind of request that callers send.
struct Operation
{
  std::string mName;
  std::string mService;
  std::string mMethod = "GET";
  std::string mPath;
  /// Length of the request body.
  uint64_t mBodyBytes = 0;
  /// Relative frequency among the operations of a workspace.
  double mShare = 1;
  /// The request carries an Idempotency-Key.
  bool mHasKey = false;
  /// Additional header fields, for instance "X-Crash".
  std::map<std::string, std::string> mHeaders;
};

} // namespace pollenway
