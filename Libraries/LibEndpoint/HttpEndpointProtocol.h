#pragma once

#include "Libraries/LibEndpoint/EndpointProtocol.h"
#include "Libraries/LibEndpoint/KeepAliveClient.h"

#include <string>

namespace cornellift::endpoint {

/// The endpoint protocol over HTTP; see docs/API.md.
///
/// httplib reports a failed connect before it writes anything; after any later failure the request
/// may have reached the endpoint. httplib repeats a request only for redirects and digest
/// authentication, which are off here. Before it reuses a connection it checks for end of stream
/// and reconnects if needed, without loss; an end of stream after this check makes the start
/// uncertain.
class HttpEndpointProtocol : public EndpointProtocol {
public:
  HttpEndpointProtocol(const std::string &Host, int Port);

  StartAnswer start(const StartRequest &Request, core::TimePoint Deadline) override;
  std::optional<TaskAnswer> queryTask(std::string_view Task, std::string_view Boot,
                                      core::TimePoint Deadline) override;
  std::optional<TaskAnswer> fence(std::string_view Task, std::uint32_t Attempt,
                                  std::string_view Boot, core::TimePoint Deadline) override;
  std::optional<EndpointStatus> status(core::TimePoint Deadline) override;
  std::optional<JobRecords> jobRecords(std::string_view Job, core::TimePoint Deadline) override;
  void abort() override;

private:
  httplib::Result send(const char *Method, std::string Path, std::string Body,
                       core::TimePoint Deadline);
  void closeIdleConnection();

  KeepAliveClient Client_;
  core::TimePoint LastUse_;
};

} // namespace cornellift::endpoint
