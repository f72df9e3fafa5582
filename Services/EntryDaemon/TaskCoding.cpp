#include "Services/EntryDaemon/TaskCoding.h"

#include "Libraries/LibCore/Reason.h"

#include <chrono>
#include <memory>
#include <utility>

namespace cornellift::entry {

peer::TaskDeclaration encode(const kernel::TaskSpec &Spec) {
  peer::TaskDeclaration Result;
  Result.set_processors(Spec.Declared.Processors);
  Result.set_memory_megabytes(Spec.Declared.MemoryMegabytes);
  Result.set_accelerators(Spec.Declared.Accelerators);
  Result.set_run_time_us(static_cast<std::uint64_t>(Spec.DeclaredRunTime.count()));
  return Result;
}

kernel::TaskSpec decode(const peer::TaskDeclaration &Declaration) {
  kernel::TaskSpec Result;
  Result.Declared = {Declaration.processors(), Declaration.memory_megabytes(),
                     Declaration.accelerators()};
  Result.DeclaredRunTime = core::Duration(Declaration.run_time_us());
  return Result;
}

std::optional<kernel::StartDelegated>
decodeDelegation(const peer::DelegateTaskRequest &Request,
                 const kernel::KernelConfiguration &Configuration) {
  auto Service = findService(Configuration, Request.service());
  auto Team = findTeam(Configuration, Request.team());
  auto Kind =
      Service ? findKind(Configuration.Services[static_cast<std::size_t>(*Service)], Request.kind())
              : std::nullopt;
  if (!Service || !Team || !Kind)
    return core::fail(core::ErrorKind::NotFound,
                      "the service, kind or team is not configured here; retry elsewhere");
  kernel::StartDelegated Result;
  Result.Task = {{{Request.incarnation()}, Request.sequence()}, Request.index()};
  Result.Service = *Service;
  Result.Kind = *Kind;
  Result.Team = *Team;
  Result.Spec = decode(Request.declaration());
  Result.Spec.PayloadBytes = static_cast<std::uint32_t>(Request.payload().size());
  Result.Payload = std::make_shared<const kernel::JobPayload>(
      kernel::JobPayload{{std::string(Request.payload())}});
  Result.TaskCount = Request.task_count();
  Result.Fingerprint = Request.fingerprint();
  Result.Attempt = Request.attempt();
  return Result;
}

void encodeTaskReply(const kernel::Response &Answer, peer::TaskReply &Reply) {
  Reply.set_state(peer::TaskReply::UNKNOWN);
  const auto *Delegated = std::get_if<kernel::DelegatedReply>(&Answer);
  if (Delegated == nullptr)
    return;
  if (const auto *Refused = std::get_if<kernel::StartRefused>(&Delegated->Content)) {
    bool Invalid = Refused->Cause == kernel::StartRefusal::Invalid;
    Reply.set_state(Invalid ? peer::TaskReply::REFUSED_INVALID : peer::TaskReply::REFUSED_NO_SLOT);
  } else if (const auto *Ended = std::get_if<kernel::TaskEnded>(&Delegated->Content)) {
    bool Finished = Ended->Verdict == kernel::TaskVerdict::Finished;
    Reply.set_state(Finished ? peer::TaskReply::FINISHED : peer::TaskReply::FAILED);
    if (Ended->Result)
      Reply.set_result(*Ended->Result);
    Reply.set_run_time_us(static_cast<std::uint64_t>(Ended->RunTime.count()));
    Reply.set_used_processors(Ended->Used.Processors);
    Reply.set_used_memory_megabytes(Ended->Used.MemoryMegabytes);
  } else {
    auto Report = std::get<kernel::TaskReported>(Delegated->Content).Report;
    if (Report == kernel::TaskReport::Running)
      Reply.set_state(peer::TaskReply::RUNNING);
    else if (Report == kernel::TaskReport::NotStartedAndFenced)
      Reply.set_state(peer::TaskReply::NOT_STARTED_AND_FENCED);
  }
}

kernel::Event decodeTaskReply(const peer::TaskReply &Reply, kernel::TaskId Task,
                              kernel::EndpointIndex Endpoint, std::uint32_t Attempt) {
  using kernel::StartRefusal;
  using kernel::TaskReport;
  switch (Reply.state()) {
  case peer::TaskReply::REFUSED_NO_SLOT:
  case peer::TaskReply::REFUSED_INVALID:
    // REFUSED_INVALID may be due to a restart of the receiver or a service that is unknown there,
    // which is no fault of the task, so the task returns to the queue here.
    return kernel::StartRefused{Task, Endpoint, StartRefusal::NoSlot, Attempt};
  case peer::TaskReply::FINISHED:
  case peer::TaskReply::FAILED: {
    kernel::TaskEnded Ended;
    Ended.Task = Task;
    Ended.Endpoint = Endpoint;
    Ended.Verdict = Reply.state() == peer::TaskReply::FINISHED ? kernel::TaskVerdict::Finished
                                                               : kernel::TaskVerdict::Failed;
    Ended.Result = std::make_shared<const std::string>(Reply.result());
    Ended.RunTime = core::Duration(Reply.run_time_us());
    Ended.Used.Processors = Reply.used_processors();
    Ended.Used.MemoryMegabytes = Reply.used_memory_megabytes();
    Ended.Attempt = Attempt;
    return Ended;
  }
  case peer::TaskReply::RUNNING:
    return kernel::TaskReported{Task, Endpoint, TaskReport::Running, Attempt};
  case peer::TaskReply::NOT_STARTED_AND_FENCED:
    return kernel::TaskReported{Task, Endpoint, TaskReport::NotStartedAndFenced, Attempt};
  default:
    return kernel::TaskReported{Task, Endpoint, TaskReport::Unknown, Attempt};
  }
}

} // namespace cornellift::entry
