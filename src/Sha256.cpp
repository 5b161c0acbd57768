#include "Sha256.h"

#include "Assert.h"

#include <openssl/evp.h>

namespace pollenway {

std::string Sha256Hex(std::string_view aText)
{
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned n = 0;
  const int ok =
    EVP_Digest(aText.data(), aText.size(), digest, &n, EVP_sha256(), nullptr);
  POLLENWAY_ASSERT(ok == 1 && n == 32, "SHA-256 is available");
  static const char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * n);
  for (unsigned i = 0; i < n; ++i) {
    hex += kDigits[digest[i] >> 4];
    hex += kDigits[digest[i] & 15];
  }
  return hex;
}

} // namespace pollenway
