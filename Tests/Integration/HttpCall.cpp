#include "Tests/Integration/HttpCall.h"

#include <iostream>

#include <httplib.h>

namespace cornellift::integration {

HttpReply callHttp(std::uint16_t Port, std::string_view Method, const std::string &Path,
                   const std::string &Body, const std::string &Key, int Seconds) {
  httplib::Client Client("127.0.0.1", Port);
  Client.set_connection_timeout(2);
  Client.set_read_timeout(Seconds);
  httplib::Request Request;
  Request.method = std::string(Method);
  Request.path = Path;
  Request.body = Body;
  if (!Key.empty())
    Request.set_header("X-Cornellift-Key", Key);
  Request.set_header("Content-Type", "application/json");
  auto Result = Client.send(Request);
  if (!Result) {
    // Some tests expect the failure; in the others this message shows the cause.
    std::cerr << Method << ' ' << Path << " to port " << Port << ": "
              << httplib::to_string(Result.error()) << '\n';
    return {};
  }
  return {Result->status, nlohmann::json::parse(Result->body, nullptr, false)};
}

} // namespace cornellift::integration
