#pragma once

#include "Kernel/Pool/DecisionLog.h"
#include "Kernel/Pool/PoolConfiguration.h"
#include "Libraries/LibPlatform/StoreFormat.h"
#include "Libraries/LibStore/KeyMirror.h"

#include <functional>
#include <memory>
#include <string_view>

namespace cornellift::pool {

/// Timing of the watch on the operators' keys; a change ends the watch at once. A watch whose
/// connection has gone silent hangs until one second after its wait time, and after an outage of
/// the store this happens in all processes. The wait is short because a configuration has to be in
/// force 2 s after it was accepted.
constexpr store::MirrorOptions ConfigurationMirrorOptions = {std::chrono::milliseconds(1000),
                                                             std::chrono::milliseconds(0)};

/// The configuration in force, received from the store or from a peer. Its version never decreases.
/// A document that cannot be parsed is logged and ignored.
class ActiveConfiguration {
public:
  using ChangeHandler = std::function<void(std::shared_ptr<const kernel::PoolConfiguration>)>;

  ActiveConfiguration(const platform::StoreFormat &Format, kernel::DecisionLog &Log,
                      ChangeHandler OnChange);

  /// Replaces the configuration if the document has a higher version. Source names the document's
  /// origin, for the log.
  void updateIfNewer(std::string_view Document, std::string_view Source);

  std::uint64_t version() const { return Current_ ? Current_->Version : 0; }
  const std::shared_ptr<const kernel::PoolConfiguration> &current() const { return Current_; }

private:
  const platform::StoreFormat &Format_;
  kernel::DecisionLog &Log_;
  ChangeHandler OnChange_;
  std::shared_ptr<const kernel::PoolConfiguration> Current_;
};

} // namespace cornellift::pool
