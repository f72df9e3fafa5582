#pragma once

#include "Libraries/LibCore/Time.h"
#include "Libraries/LibReactor/HttpMessage.h"

#include <functional>
#include <string_view>

namespace cornellift::reactor {

/// One request that a server has received, and the way to answer it.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual HttpMethod method() const = 0;
  virtual std::string_view target() const = 0; ///< Path and query.
  virtual std::string_view host() const = 0;
  virtual std::string_view header(std::string_view Name) const = 0; ///< Empty when not given.
  virtual std::string_view body() const = 0;

  /// When the whole request had been read.
  virtual core::TimePoint receivedAt() const = 0;

  /// Sends the reply. Only the first call has an effect.
  virtual void reply(const HttpReply &Reply) = 0;

  /// Registers what to do when the other side closes the connection before the reply. It is called
  /// at most once, and not after the reply.
  virtual void setDisconnectHandler(std::function<void()> Handler) = 0;
};

} // namespace cornellift::reactor
