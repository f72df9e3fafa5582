#pragma once

#include "Libraries/LibEndpoint/EndpointProtocol.h"

#include <optional>
#include <string>
#include <string_view>

namespace cornellift::endpoint::detail {

std::string renderStart(const StartRequest &Request);

/// Each parser returns an empty optional when the body is not a whole answer of that form, or when
/// it names another task, job or run of the endpoint than the one given.
std::optional<StartAnswer> parseStartAnswer(std::string_view Body, std::string_view Task,
                                            std::string_view Boot);
std::optional<TaskAnswer> parseTaskAnswer(std::string_view Body, std::string_view Task,
                                          std::string_view Boot);
std::optional<JobRecords> parseJobRecords(std::string_view Body, std::string_view Job);
std::optional<EndpointStatus> parseStatus(std::string_view Body);

} // namespace cornellift::endpoint::detail
