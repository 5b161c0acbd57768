#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>

#include <memory>
#include <string>
#include <utility>

namespace pollenway {

/// A request whose body is shared, so that an attempt at a target takes no copy
/// of it.
class SharedRequest
  : public boost::beast::http::request<
      boost::beast::http::span_body<const char>>
{
public:
  using Message =
    boost::beast::http::request<boost::beast::http::span_body<const char>>;
  using Message::Message;

  /// Sets the body. It must not be null.
  void SetBody(std::shared_ptr<const std::string> aText)
  {
    mText = std::move(aText);
    body() = { mText->data(), mText->size() };
  }

private:
  std::shared_ptr<const std::string> mText;
};

} // namespace pollenway
