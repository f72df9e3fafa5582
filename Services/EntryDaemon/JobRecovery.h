#pragma once

#include "Kernel/KernelConfiguration.h"
#include "Kernel/Outcome.h"
#include "Libraries/LibEndpoint/EndpointProtocol.h"

#include <string_view>
#include <vector>

namespace cornellift::entry {

/// What the records of all endpoints say of a job whose issuer is dead: Complete when every task
/// finished, otherwise MayHaveRun. It is never NotRun: a paused issuer may go on.
kernel::Outcome judgeRecords(const std::vector<endpoint::JobRecords> &Records);

/// Asks every configured endpoint for its records of the job, several at a time. Endpoints that
/// cannot be asked count as having no record.
std::vector<endpoint::JobRecords> collectRecords(const kernel::KernelConfiguration &Configuration,
                                                 std::string_view Job);

} // namespace cornellift::entry
