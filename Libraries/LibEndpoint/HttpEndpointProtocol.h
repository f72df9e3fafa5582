#pragma once

#include "Libraries/LibEndpoint/EndpointProtocol.h"
#include "Libraries/LibEndpoint/KeptClient.h"

#include <string>

namespace cornellift::endpoint {

/// The endpoint protocol over HTTP; see docs/API.md.
///
/// The HTTP client of the library reports a failed connect before it writes anything; any failure
/// after that may have reached the endpoint. The library sends a request once: it repeats one only
/// for redirects and digest authentication, which are off here. Before it uses a kept connection it
/// looks for an end of the stream, and opens another one if it finds it, so nothing is lost then;
/// an end that arrives after this look makes the start uncertain.
class HttpEndpointProtocol : public EndpointProtocol {
public:
  HttpEndpointProtocol(const std::string &Host, int Port);

  StartAnswer start(const StartRequest &Request, core::TimePoint Deadline) override;
  std::optional<TaskAnswer> ask(std::string_view Task, std::string_view Boot,
                                core::TimePoint Deadline) override;
  std::optional<TaskAnswer> fence(std::string_view Task, std::uint32_t Attempt,
                                  std::string_view Boot, core::TimePoint Deadline) override;
  std::optional<EndpointStatus> status(core::TimePoint Deadline) override;
  std::optional<JobRecords> jobRecords(std::string_view Job, core::TimePoint Deadline) override;
  void abort() override;

private:
  httplib::Result send(const char *Method, std::string Path, std::string Body,
                       core::TimePoint Deadline);
  void closeIfIdleForLong();

  KeptClient Client_;
  core::TimePoint LastUse_;
};

} // namespace cornellift::endpoint
