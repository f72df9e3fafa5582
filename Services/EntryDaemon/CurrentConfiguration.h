#pragma once

#include "Kernel/KernelConfiguration.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace cornellift::entry {

/// Holds the configuration in force, for the components that look up names in it. Thread-safe.
class CurrentConfiguration {
public:
  void set(std::shared_ptr<const kernel::KernelConfiguration> Next);

  /// Null until the first configuration is set.
  std::shared_ptr<const kernel::KernelConfiguration> get() const;

private:
  mutable std::mutex Mutex_;
  std::shared_ptr<const kernel::KernelConfiguration> Current_;
};

/// Return the index of the entry with this name, unless it was removed from the configuration.
std::optional<kernel::ServiceIndex> findService(const kernel::KernelConfiguration &Configuration,
                                                std::string_view Name);
std::optional<kernel::KindIndex> findKind(const kernel::ServiceConfiguration &Service,
                                          std::string_view Name);
std::optional<kernel::TeamIndex> findTeam(const kernel::KernelConfiguration &Configuration,
                                          std::string_view Name);

} // namespace cornellift::entry
