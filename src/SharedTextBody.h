#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace pollenway {

/// Body type of Beast messages that are written from a shared string. A null
/// pointer is an empty body.
struct SharedTextBody
{
  using value_type = std::shared_ptr<const std::string>;

  static std::uint64_t size(const value_type& aBody)
  {
    return aBody ? aBody->size() : 0;
  }

  /// Meets Beast's requirements for a body's writer.
  class writer
  {
  public:
    using const_buffers_type = boost::asio::const_buffer;

    template<bool IsRequest, typename Fields>
    writer(const boost::beast::http::header<IsRequest, Fields>&,
           const value_type& aBody)
      : mBody(aBody)
    {
    }

    void init(boost::beast::error_code& aError) { aError = {}; }
    boost::optional<std::pair<const_buffers_type, bool>> get(
      boost::beast::error_code& aError)
    {
      aError = {};
      const const_buffers_type buf =
        mBody ? boost::asio::buffer(*mBody) : const_buffers_type();
      return { { buf, false } };
    }

  private:
    const value_type& mBody;
  };
};

} // namespace pollenway
