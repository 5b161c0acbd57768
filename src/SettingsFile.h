#pragma once

#include "Result.h"

#include <string>

namespace pollenway {

/// The text of a settings or inventory file. Fails with `FileUnreadable` (path
/// of the file in the error's path) if it can't be opened or read.
Result<std::string> ReadSettingsFile(const std::string& aPath);

} // namespace pollenway
