#include "Services/EntryDaemon/CurrentConfiguration.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cornellift::entry {
namespace {

template <typename Index, typename Entry>
std::optional<Index> findByName(const std::vector<Entry> &Entries, std::string_view Name) {
  auto Found = std::find_if(Entries.begin(), Entries.end(), [Name](const Entry &Candidate) {
    return Candidate.Name == Name && !Candidate.Removed;
  });
  if (Found == Entries.end())
    return std::nullopt;
  return Index(static_cast<std::uint32_t>(Found - Entries.begin()));
}

} // namespace

void CurrentConfiguration::set(std::shared_ptr<const kernel::KernelConfiguration> Next) {
  std::lock_guard Guard(Mutex_);
  Current_ = std::move(Next);
}

std::shared_ptr<const kernel::KernelConfiguration> CurrentConfiguration::get() const {
  std::lock_guard Guard(Mutex_);
  return Current_;
}

std::optional<kernel::ServiceIndex> findService(const kernel::KernelConfiguration &Configuration,
                                                std::string_view Name) {
  return findByName<kernel::ServiceIndex>(Configuration.Services, Name);
}

std::optional<kernel::KindIndex> findKind(const kernel::ServiceConfiguration &Service,
                                          std::string_view Name) {
  return findByName<kernel::KindIndex>(Service.Kinds, Name);
}

std::optional<kernel::TeamIndex> findTeam(const kernel::KernelConfiguration &Configuration,
                                          std::string_view Name) {
  return findByName<kernel::TeamIndex>(Configuration.Teams, Name);
}

} // namespace cornellift::entry
