#pragma once

#include "Kernel/KernelConfiguration.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace cornellift::entry {

/// The configuration in force, for the duties that translate names. Safe to use from every thread.
class ConfigurationBoard {
public:
  void set(std::shared_ptr<const kernel::KernelConfiguration> Next);

  /// Empty until a configuration has been learned.
  std::shared_ptr<const kernel::KernelConfiguration> current() const;

private:
  mutable std::mutex Mutex_;
  std::shared_ptr<const kernel::KernelConfiguration> Current_;
};

/// Position of the named entry that is still configured.
std::optional<kernel::ServiceIndex> findService(const kernel::KernelConfiguration &Configuration,
                                                std::string_view Name);
std::optional<kernel::KindIndex> findKind(const kernel::ServiceConfiguration &Service,
                                          std::string_view Name);
std::optional<kernel::TeamIndex> findTeam(const kernel::KernelConfiguration &Configuration,
                                          std::string_view Name);

} // namespace cornellift::entry
