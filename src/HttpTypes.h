#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <string>

namespace pollenway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

template<typename T>
using Awaitable = boost::asio::awaitable<T>;

using RequestHeader = http::request_header<http::fields>;
using ResponseHeader = http::response_header<http::fields>;
using TextResponse = http::response<http::string_body>;
using TextRequest = http::request<http::string_body>;

/// Returns a completion token that stores the error in `aError` instead of
/// throwing it.
inline auto Into(ErrorCode& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

/// Returns the text of a header field, empty if it is absent.
inline std::string FieldText(const http::fields& aFields,
                             beast::string_view aName)
{
  return std::string(aFields[aName]);
}

} // namespace pollenway
