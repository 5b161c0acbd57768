#pragma once

namespace pollenway {

/// What an instance does with keyed requests while its zone is isolated.
enum class CutOffKeyPolicy
{
  Serve,  ///< Goes on with the keys it knows; a withdrawal may not reach it.
  Refuse, ///< Refuses keyed requests after 5 s without contact.
};

} // namespace pollenway
