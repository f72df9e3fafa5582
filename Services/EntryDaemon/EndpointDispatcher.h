#pragma once

#include "Kernel/Action.h"
#include "Libraries/LibEndpoint/EndpointProtocol.h"
#include "Services/EntryDaemon/Component.h"
#include "Services/EntryDaemon/EndpointLink.h"
#include "Services/EntryDaemon/EndpointMetrics.h"

#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::entry {

/// Passes the kernel's actions to the link of the endpoint that they concern.
class EndpointDispatcher : public Component {
public:
  EndpointDispatcher(const IssuerNames &Names, EventPoster &Kernel,
                     const CurrentConfiguration &Configuration, core::MetricsRegistry &Metrics);

  bool start() override { return true; }
  void stop() override;

  /// Creates links to endpoints that are new or have a new address. The other links stay; those to
  /// removed endpoints let their running tasks end.
  void applyConfiguration(const kernel::KernelConfiguration &Configuration);

  /// These do not block. They return the event that reports the failure when an action cannot be
  /// passed on.
  std::optional<kernel::Event> perform(kernel::StartTask Action);
  std::optional<kernel::Event> perform(const kernel::AskTask &Action);
  std::optional<kernel::Event> perform(const kernel::FenceTask &Action);
  void perform(const kernel::ProbeEndpoint &Action);

private:
  std::shared_ptr<EndpointLink> findLink(kernel::EndpointIndex Endpoint) const;

  const IssuerNames &Names_;
  EventPoster &Kernel_;
  const CurrentConfiguration &CurrentConfiguration_;
  EndpointMetrics Metrics_;
  mutable std::mutex Mutex_;
  std::vector<std::shared_ptr<EndpointLink>> Links_; ///< By EndpointIndex.
  std::vector<std::shared_ptr<EndpointLink>> ReplacedLinks_;
};

} // namespace cornellift::entry
