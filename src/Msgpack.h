#pragma once

// On Unix, msgpack includes <arpa/inet.h> for its byte order functions, which
// would make the core depend on sockets. Without this macro, it uses shifts.
#pragma push_macro("__unix")
#undef __unix
#include <msgpack.hpp>
#pragma pop_macro("__unix")
