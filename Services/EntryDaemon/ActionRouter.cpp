#include "Services/EntryDaemon/ActionRouter.h"

#include "Libraries/LibCore/Log.h"

#include <utility>

namespace cornellift::entry {

ActionRouter::ActionRouter(KernelThread &Kernel, RequestTable &Requests,
                           EndpointDispatcher &Endpoints, const IssuerNames &Names,
                           core::MetricsRegistry &Metrics)
    : Kernel_(Kernel), Requests_(Requests), Endpoints_(Endpoints), Names_(Names),
      LateJobs_(Metrics.counter("cornellift_late_jobs_total")) {}

void ActionRouter::perform(kernel::Action Next) {
  if (DelegationHandler_ && DelegationHandler_(Next))
    return;
  std::visit([this](auto &Action) { carryOut(std::move(Action)); }, Next);
}

void ActionRouter::carryOut(kernel::Respond Action) {
  Requests_.respond(Action.Request, std::move(Action.Content));
}

void ActionRouter::carryOut(kernel::StartTask Action) {
  if (auto Answer = Endpoints_.perform(std::move(Action)))
    Kernel_.postFromSink(std::move(*Answer));
}

void ActionRouter::carryOut(const kernel::AskTask &Action) {
  if (auto Answer = Endpoints_.perform(Action))
    Kernel_.postFromSink(std::move(*Answer));
}

void ActionRouter::carryOut(const kernel::FenceTask &Action) {
  if (auto Answer = Endpoints_.perform(Action))
    Kernel_.postFromSink(std::move(*Answer));
}

void ActionRouter::carryOut(const kernel::ProbeEndpoint &Action) { Endpoints_.perform(Action); }

void ActionRouter::carryOut(const kernel::FlagLate &Action) {
  LateJobs_.add();
  core::logLine(core::LogLevel::Warning, "kernel", "job is expected to be late",
                {{"job", kernel::formatJobId(Names_.nameOf(Action.Job.Issuer), Action.Job)},
                 {"deadline_ms", std::to_string(core::toWallClock(Action.Deadline))},
                 {"expected_end_ms", std::to_string(core::toWallClock(Action.ExpectedEnd))}});
}

void ActionRouter::carryOut(const kernel::SendTransferPart &Action) {
  if (TransferHandler_)
    TransferHandler_(Action);
}

void ActionRouter::carryOut(const kernel::SealTransfer &Action) {
  if (TransferHandler_)
    TransferHandler_(Action);
}

void ActionRouter::carryOut(const kernel::Drained &) { Drained_.store(true); }

} // namespace cornellift::entry
