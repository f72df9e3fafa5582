#pragma once

#include "Libraries/LibReactor/HttpMessage.h"

#include <functional>
#include <optional>
#include <string>

namespace cornellift::reactor {

enum class HttpFailure {
  NotSent, ///< No connection was made in time; the other side has not seen the request.
  NoReply  ///< The request was written, wholly or in part; it may have been carried out.
};

/// What became of a call: a reply, or how it failed.
struct HttpResult {
  std::optional<HttpReply> Reply;
  HttpFailure Failure = HttpFailure::NotSent;
  std::string Cause; ///< Of the failure, for logs.
};

using HttpResultHandler = std::function<void(HttpResult)>;

} // namespace cornellift::reactor
