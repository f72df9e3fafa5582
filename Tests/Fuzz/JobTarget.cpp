#include "Tests/Fuzz/JobTarget.h"

#include "Services/EntryDaemon/JobParser.h"

#include <cstdlib>

void checkJobParser(std::string_view Body) {
  constexpr std::uint32_t MaximumTasks = 64;
  auto Job = cornellift::entry::parseJob(Body, MaximumTasks);
  if (!Job)
    return;
  if (Job->Tasks.empty() || Job->Tasks.size() > MaximumTasks || !Job->Payload ||
      Job->Payload->Tasks.size() != Job->Tasks.size())
    std::abort();
  for (const auto &Payload : Job->Payload->Tasks)
    if (Payload.size() > cornellift::entry::MaximumPayloadBytes)
      std::abort();
}
