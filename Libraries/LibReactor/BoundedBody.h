#pragma once

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>

namespace cornellift::reactor {

/// The text of a message of at most MaximumBytes. The parser of Boost 1.74 does not apply its own
/// limit to a reply that states its length, and reserves memory for any length that is stated.
template <std::uint64_t MaximumBytes> struct BoundedBody : boost::beast::http::string_body {
  class reader // NOLINT(readability-identifier-naming)
      : public boost::beast::http::string_body::reader {
  public:
    using boost::beast::http::string_body::reader::reader;

    void init(const boost::optional<std::uint64_t> &Length, boost::system::error_code &Error) {
      if (Length && *Length > MaximumBytes) {
        Error = boost::beast::http::error::body_limit;
        return;
      }
      boost::beast::http::string_body::reader::init(Length, Error);
    }
  };
};

} // namespace cornellift::reactor
