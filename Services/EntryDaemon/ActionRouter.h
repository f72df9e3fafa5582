#pragma once

#include "Kernel/Action.h"
#include "Libraries/LibCore/MetricsRegistry.h"
#include "Services/EntryDaemon/EndpointDispatcher.h"
#include "Services/EntryDaemon/IssuerNames.h"
#include "Services/EntryDaemon/KernelThread.h"
#include "Services/EntryDaemon/RequestTable.h"

#include <atomic>
#include <functional>

namespace cornellift::entry {

/// Dispatches the kernel's actions to the components that carry them out. Runs on the kernel's
/// thread.
class ActionRouter : public kernel::ActionSink {
public:
  ActionRouter(KernelThread &Kernel, RequestTable &Requests, EndpointDispatcher &Endpoints,
               const IssuerNames &Names, core::MetricsRegistry &Metrics);

  /// Sets the handler of the actions that transfer state to a successor. Call before the kernel
  /// starts; the handler must not block.
  void setTransferHandler(std::function<void(kernel::Action)> Handler) {
    TransferHandler_ = std::move(Handler);
  }

  /// Sets the handler that is offered each action first. It returns true when it has carried out
  /// the action, as it does for entry VMs of other data centres. Call before the kernel starts; the
  /// handler must not block.
  void setDelegationHandler(std::function<bool(const kernel::Action &)> Handler) {
    DelegationHandler_ = std::move(Handler);
  }

  /// True once the kernel has reported, after StopRequested, that no work is left.
  bool isDrained() const { return Drained_.load(); }

  void perform(kernel::Action Next) override;

private:
  void carryOut(kernel::Respond Action);
  void carryOut(kernel::StartTask Action);
  void carryOut(const kernel::AskTask &Action);
  void carryOut(const kernel::FenceTask &Action);
  void carryOut(const kernel::ProbeEndpoint &Action);
  void carryOut(const kernel::FlagLate &Action);
  void carryOut(const kernel::SendTransferPart &Action);
  void carryOut(const kernel::SealTransfer &Action);
  void carryOut(const kernel::Drained &Action);

  KernelThread &Kernel_;
  RequestTable &Requests_;
  EndpointDispatcher &Endpoints_;
  const IssuerNames &Names_;
  core::Counter &LateJobs_;
  std::function<void(kernel::Action)> TransferHandler_;
  std::function<bool(const kernel::Action &)> DelegationHandler_;
  std::atomic<bool> Drained_{false};
};

} // namespace cornellift::entry
