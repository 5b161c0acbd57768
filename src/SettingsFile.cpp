#include "SettingsFile.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace pollenway {

Result<std::string> ReadSettingsFile(const std::string& aPath)
{
  errno = 0;
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  // For a directory, opening succeeds and only the first read fails.
  if (file && file.peek() != std::ifstream::traits_type::eof()) {
    text << file.rdbuf();
  }
  if (!file.is_open() || file.bad()) {
    const std::string reason = errno ? std::strerror(errno) : "read failed";
    return Error{ ResultCode::FileUnreadable,
                  "can't read the file: " + reason,
                  aPath };
  }
  return text.str();
}

} // namespace pollenway
