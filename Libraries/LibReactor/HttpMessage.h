#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cornellift::reactor {

enum class HttpMethod { Get, Post, Delete, Other };

using HttpHeader = std::pair<std::string, std::string>;

/// A request to another process. The body is sent as JSON when it is not empty.
struct HttpRequest {
  HttpMethod Method = HttpMethod::Get;
  std::string Target; ///< Path and query.
  std::vector<HttpHeader> Headers;
  std::string Body;
};

struct HttpReply {
  unsigned Status = 0;
  std::string Body;
  std::vector<HttpHeader> Headers; ///< Beside those that the connection sets itself.
};

} // namespace cornellift::reactor
