#pragma once

#include "Result.h"

#include <string>

namespace pollenway {

/// Returns the text of a settings or inventory file. Fails with
/// `FileUnreadable` and the file's path in `Error::mPath` if it cannot be
/// opened or read.
Result<std::string> ReadSettingsFile(const std::string& aPath);

} // namespace pollenway
