#include "Libraries/LibEndpoint/HttpEndpointProtocol.h"

#include "Libraries/LibCore/PluginRegistry.h"
#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibEndpoint/HttpEndpointMessages.h"

#include <algorithm>
#include <utility>

namespace cornellift::endpoint {
namespace {

const core::PluginRegistration<EndpointProtocol, HttpEndpointProtocol, std::string, int>
    Registration("http");

/// Within a data centre a connect takes under a millisecond. The timeout allows for one lost
/// packet, which TCP retransmits after a second.
constexpr core::Duration ConnectTimeout = std::chrono::milliseconds(1500);

/// Endpoints close connections that have been idle for 5 s. Closing them earlier on this side
/// avoids sending a start while the endpoint closes, which would leave its outcome uncertain.
constexpr core::Duration MaximumIdleTime = std::chrono::seconds(2);

constexpr core::Duration MinimumTimeout = std::chrono::milliseconds(1);

bool isConnectFailure(httplib::Error Error) {
  switch (Error) {
  case httplib::Error::Connection:
  case httplib::Error::ConnectionTimeout:
  case httplib::Error::BindIPAddress:
  case httplib::Error::SSLConnection:
  case httplib::Error::SSLLoadingCerts:
  case httplib::Error::SSLServerVerification:
    return true;
  default:
    return false;
  }
}

std::nullopt_t failUnavailable(httplib::Error Error) {
  return core::fail(core::ErrorKind::Unavailable, "the endpoint gave no complete answer (" +
                                                      httplib::to_string(Error) + "); retry later");
}

std::nullopt_t failMismatch() {
  return core::fail(core::ErrorKind::Unavailable,
                    "the endpoint's answer does not match the request; retry later");
}

} // namespace

HttpEndpointProtocol::HttpEndpointProtocol(const std::string &Host, int Port)
    : Client_(Host, Port) {
  Client_.set_keep_alive(true);
  Client_.set_follow_location(false);
  Client_.set_tcp_nodelay(true);
  Client_.set_url_encode(false);
  Client_.set_decompress(false);
  Client_.set_connection_timeout(ConnectTimeout);
}

StartAnswer HttpEndpointProtocol::start(const StartRequest &Request, core::TimePoint Deadline) {
  auto Result = send("POST", "/v1/tasks/" + Request.Task, detail::renderStart(Request), Deadline);
  if (!Result && isConnectFailure(Result.error()))
    return NeverWritten{httplib::to_string(Result.error())};
  if (!Result)
    return Uncertain{httplib::to_string(Result.error())};
  auto Answer = detail::parseStartAnswer(Result->body, Request.Task, Request.Boot);
  if (Answer)
    return std::move(*Answer);
  // Later answers on this connection may be mismatched as well.
  Client_.stop();
  return Uncertain{"answer with status " + std::to_string(Result->status) +
                   " does not match the start request"};
}

std::optional<TaskAnswer> HttpEndpointProtocol::queryTask(std::string_view Task,
                                                          std::string_view Boot,
                                                          core::TimePoint Deadline) {
  auto Result = send("GET", "/v1/tasks/" + std::string(Task), {}, Deadline);
  if (!Result)
    return failUnavailable(Result.error());
  auto Answer = detail::parseTaskAnswer(Result->body, Task, Boot);
  return Answer ? std::move(Answer) : failMismatch();
}

std::optional<TaskAnswer> HttpEndpointProtocol::fence(std::string_view Task, std::uint32_t Attempt,
                                                      std::string_view Boot,
                                                      core::TimePoint Deadline) {
  auto Result = send("POST", "/v1/tasks/" + std::string(Task) + "/fence",
                     R"({"attempt":)" + std::to_string(Attempt) + "}", Deadline);
  if (!Result)
    return failUnavailable(Result.error());
  auto Answer = detail::parseTaskAnswer(Result->body, Task, Boot);
  return Answer ? std::move(Answer) : failMismatch();
}

std::optional<EndpointStatus> HttpEndpointProtocol::status(core::TimePoint Deadline) {
  auto Result = send("GET", "/v1/status", {}, Deadline);
  if (!Result)
    return failUnavailable(Result.error());
  auto Status = detail::parseStatus(Result->body);
  return Status ? std::move(Status) : failMismatch();
}

std::optional<JobRecords> HttpEndpointProtocol::jobRecords(std::string_view Job,
                                                           core::TimePoint Deadline) {
  auto Result = send("GET", "/v1/jobs/" + std::string(Job) + "/tasks", {}, Deadline);
  if (!Result)
    return failUnavailable(Result.error());
  if (Result->status == 404)
    return core::fail(core::ErrorKind::Unsupported, "the endpoint keeps no job records");
  auto Records = detail::parseJobRecords(Result->body, Job);
  return Records ? std::move(Records) : failMismatch();
}

void HttpEndpointProtocol::abort() { Client_.stop(); }

httplib::Result HttpEndpointProtocol::send(const char *Method, std::string Path, std::string Body,
                                           core::TimePoint Deadline) {
  closeIdleConnection();
  auto Wait = std::max(Deadline - core::MonotonicClock::now(), MinimumTimeout);
  Client_.set_read_timeout(Wait);
  Client_.set_write_timeout(Wait);
  Client_.set_connection_timeout(std::min(Wait, ConnectTimeout));
  httplib::Request Request;
  Request.method = Method;
  Request.path = std::move(Path);
  if (!Body.empty())
    Request.set_header("Content-Type", "application/json");
  Request.body = std::move(Body);
  auto Result = Client_.send(Request);
  LastUse_ = core::MonotonicClock::now();
  return Result;
}

void HttpEndpointProtocol::closeIdleConnection() {
  if (Client_.is_socket_open() != 0 && core::MonotonicClock::now() - LastUse_ > MaximumIdleTime)
    Client_.stop();
}

} // namespace cornellift::endpoint
