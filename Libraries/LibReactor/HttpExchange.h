#pragma once

#include "Libraries/LibCore/Time.h"
#include "Libraries/LibReactor/HttpMessage.h"

#include <cstddef>
#include <functional>
#include <string_view>

namespace cornellift::reactor {

/// A request that a server has received, and the means to reply to it.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual HttpMethod method() const = 0;
  virtual std::string_view target() const = 0; ///< Path and query.
  virtual std::string_view host() const = 0;
  virtual std::string_view header(std::string_view Name) const = 0; ///< Empty if absent.
  virtual std::string_view body() const = 0;

  /// Returns whether the request's body was not kept because its target took none when it arrived.
  virtual bool isBodyDropped() const = 0;

  /// Frees the body and holds that many bytes of the server's memory until the reply instead.
  /// Returns false if there is no room for them; the request should be refused then.
  virtual bool replaceBody(std::size_t Bytes) = 0;

  /// When the request had been read completely.
  virtual core::TimePoint receivedAt() const = 0;

  /// Sends the reply. Only the first call has an effect.
  virtual void reply(const HttpReply &Reply) = 0;

  /// Sets a handler that is called if the client closes the connection before the reply; at most
  /// once, and not after the reply.
  virtual void setDisconnectHandler(std::function<void()> Handler) = 0;
};

} // namespace cornellift::reactor
