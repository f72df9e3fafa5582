#pragma once

#include "Libraries/LibEndpoint/EndpointProtocol.h"

#include <optional>
#include <string>
#include <string_view>

namespace cornellift::endpoint::detail {

std::string renderStart(const StartRequest &Request);

/// Each parser returns an empty optional when the body is incomplete or malformed, or names another
/// task or job. A boot identifier that differs makes a start's answer empty, unless it is a
/// refusal, and a task's answer NoRecord.
std::optional<StartAnswer> parseStartAnswer(std::string_view Body, std::string_view Task,
                                            std::string_view Boot);
std::optional<TaskAnswer> parseTaskAnswer(std::string_view Body, std::string_view Task,
                                          std::string_view Boot);
std::optional<JobRecords> parseJobRecords(std::string_view Body, std::string_view Job);
std::optional<EndpointStatus> parseStatus(std::string_view Body);

} // namespace cornellift::endpoint::detail
