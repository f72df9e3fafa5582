#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cornellift::reactor {

enum class HttpMethod { Get, Post, Delete, Other };

using HttpHeader = std::pair<std::string, std::string>;

/// A request to a server. A body that isn't empty is sent as JSON.
struct HttpRequest {
  HttpMethod Method = HttpMethod::Get;
  std::string Target; ///< Path and query.
  std::vector<HttpHeader> Headers;
  std::string Body;
};

struct HttpReply {
  unsigned Status = 0;
  std::string Body;
  std::vector<HttpHeader> Headers; ///< In addition to those that the connection sets itself.
};

} // namespace cornellift::reactor
