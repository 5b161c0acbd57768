#include "Assert.h"

#include <cstdio>
#include <cstdlib>

namespace pollenway {

void FailInvariant(const char* aCondition,
                   const char* aMessage,
                   const char* aFile,
                   int aLine)
{
  std::fprintf(stderr,
               "event=invariant_failed condition=\"%s\" message=\"%s\" "
               "file=%s line=%d\n",
               aCondition,
               aMessage,
               aFile,
               aLine);
  std::abort();
}

} // namespace pollenway
