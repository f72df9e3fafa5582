#pragma once

#include "Libraries/LibReactor/HttpMessage.h"

#include <functional>
#include <optional>
#include <string>

namespace cornellift::reactor {

enum class HttpFailure {
  NotSent, ///< No connection was established in time; the server has not seen the request.
  NoReply  ///< The request was sent, at least in part; the server may have processed it.
};

/// Result of a call: the reply, or the kind and cause of the failure.
struct HttpResult {
  std::optional<HttpReply> Reply;
  HttpFailure Failure = HttpFailure::NotSent;
  std::string Cause; ///< Cause of the failure, for logs.
};

using HttpResultHandler = std::function<void(HttpResult)>;

} // namespace cornellift::reactor
