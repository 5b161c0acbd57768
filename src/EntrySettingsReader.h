#pragma once

#include "EntrySettings.h"
#include "Validated.h"

#include <string_view>

namespace pollenway {

/// Reads the settings of an entry instance from JSON. The fields "name",
/// "zone", "address" and "platform" {"address", "port"} are required. Optional,
/// with the defaults of `EntrySettings`, are "caller_port", "peer_port",
/// "relay_port", "admin_port", "admin_address", "seeds" [{"address",
/// "peer_port"}], "seed", "cut_off_key_policy" ("serve" or "refuse"),
/// "trusted_resolvers" [CIDR], "drain_timeout_ms" and "record_retention_ms"
/// (1 s to 24 h), "max_buffered_answer_bytes" (0 to 512 KiB) and "log_level"
/// ("trace", "debug", "info", "warn" or "error").
class EntrySettingsReader
{
public:
  /// Returns the settings, or all errors. Each error has a code of the 100
  /// group and a path such as "/seeds/0/peer_port" ("/" for the whole text).
  static Validated<EntrySettings> Read(std::string_view aText);
};

} // namespace pollenway
