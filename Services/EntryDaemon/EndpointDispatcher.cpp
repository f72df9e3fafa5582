#include "Services/EntryDaemon/EndpointDispatcher.h"

#include <utility>

namespace cornellift::entry {

EndpointDispatcher::EndpointDispatcher(const IssuerNames &Names, EventPoster &Kernel,
                                       const CurrentConfiguration &Configuration,
                                       core::MetricsRegistry &Metrics)
    : Names_(Names), Kernel_(Kernel), CurrentConfiguration_(Configuration), Metrics_(Metrics) {}

void EndpointDispatcher::stop() {
  std::vector<std::shared_ptr<EndpointLink>> Links;
  {
    std::lock_guard Guard(Mutex_);
    Links.swap(Links_);
    Links.insert(Links.end(), ReplacedLinks_.begin(), ReplacedLinks_.end());
    ReplacedLinks_.clear();
  }
  // The links of remote endpoints are null.
  for (auto &Link : Links)
    if (Link)
      Link->stop();
}

void EndpointDispatcher::applyConfiguration(const kernel::KernelConfiguration &Configuration) {
  std::lock_guard Guard(Mutex_);
  Links_.resize(Configuration.Endpoints.size());
  for (std::size_t Number = 0; Number < Links_.size(); ++Number) {
    const auto &Endpoint = Configuration.Endpoints[Number];
    auto &Link = Links_[Number];
    if (Endpoint.Remote)
      continue;
    if (Link && (Endpoint.Removed || Link->address() == Endpoint.Address))
      continue;
    if (Link)
      ReplacedLinks_.push_back(Link);
    Link = std::make_shared<EndpointLink>(
        LinkContext{Names_, Kernel_, CurrentConfiguration_, Metrics_},
        kernel::EndpointIndex(static_cast<std::uint32_t>(Number)), Endpoint);
  }
}

std::optional<kernel::Event> EndpointDispatcher::perform(kernel::StartTask Action) {
  auto Link = findLink(Action.Endpoint);
  kernel::StartRefused Refused{Action.Task, Action.Endpoint, kernel::StartRefusal::NotSent,
                               Action.Attempt};
  if (Link && Link->start(std::move(Action)))
    return std::nullopt;
  return Refused;
}

std::optional<kernel::Event> EndpointDispatcher::perform(const kernel::AskTask &Action) {
  auto Link = findLink(Action.Endpoint);
  if (Link && Link->ask(Action))
    return std::nullopt;
  return kernel::TaskReported{Action.Task, Action.Endpoint, kernel::TaskReport::Unknown,
                              Action.Attempt};
}

std::optional<kernel::Event> EndpointDispatcher::perform(const kernel::FenceTask &Action) {
  auto Link = findLink(Action.Endpoint);
  if (Link && Link->fence(Action))
    return std::nullopt;
  return kernel::TaskReported{Action.Task, Action.Endpoint, kernel::TaskReport::Unknown,
                              Action.Attempt};
}

void EndpointDispatcher::perform(const kernel::ProbeEndpoint &Action) {
  if (auto Link = findLink(Action.Endpoint))
    Link->probe();
}

std::shared_ptr<EndpointLink> EndpointDispatcher::findLink(kernel::EndpointIndex Endpoint) const {
  std::lock_guard Guard(Mutex_);
  auto Number = static_cast<std::size_t>(Endpoint);
  return Number < Links_.size() ? Links_[Number] : nullptr;
}

} // namespace cornellift::entry
