#include "Services/EntryDaemon/LeavingEndpoints.h"

#include <algorithm>
#include <optional>

namespace cornellift::entry {
namespace {

std::optional<kernel::EndpointIndex> findEndpoint(const CurrentConfiguration &Current,
                                                  std::string_view Name) {
  auto Configuration = Current.get();
  if (!Configuration)
    return std::nullopt;
  const auto &Endpoints = Configuration->Endpoints;
  auto Found = std::find_if(Endpoints.begin(), Endpoints.end(), [Name](const auto &Endpoint) {
    return Endpoint.Name == Name && !Endpoint.Removed && !Endpoint.Remote;
  });
  if (Found == Endpoints.end())
    return std::nullopt;
  return kernel::EndpointIndex(static_cast<std::uint32_t>(Found - Endpoints.begin()));
}

} // namespace

bool LeavingEndpoints::isEndpoint(std::string_view Name) const {
  return findEndpoint(CurrentConfiguration_, Name).has_value();
}

void LeavingEndpoints::reportLeaving(std::string_view Name) {
  auto Endpoint = findEndpoint(CurrentConfiguration_, Name);
  if (!Endpoint)
    return;
  // The event may be dropped when the ring is full: the list is read again each second.
  Kernel_.tryPost(kernel::EndpointObserved{*Endpoint, kernel::EndpointObserved::Reach::Unknown,
                                           kernel::EndpointObserved::Standing::Leaving,
                                           kernel::Resources{}});
}

} // namespace cornellift::entry
