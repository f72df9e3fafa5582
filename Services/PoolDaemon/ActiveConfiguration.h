#pragma once

#include "Kernel/Pool/DecisionLog.h"
#include "Kernel/Pool/PoolConfiguration.h"
#include "Libraries/LibPlatform/StoreFormat.h"
#include "Libraries/LibStore/KeyMirror.h"

#include <functional>
#include <memory>
#include <string_view>

namespace cornellift::pool {

/// How the operators' keys are followed; a change ends the watch at once. A watch may hang for good
/// on a connection that has gone silent, for a second more than its wait, and in all processes when
/// the store was away; a configuration is to be in force 2 s after it was accepted.
constexpr store::MirrorOptions ConfigurationMirrorOptions = {std::chrono::milliseconds(1000),
                                                             std::chrono::milliseconds(0)};

/// The configuration in force. It comes from the store or from a peer and never goes back to an
/// older version. A document that cannot be read changes nothing.
class ActiveConfiguration {
public:
  using ChangeHandler = std::function<void(std::shared_ptr<const kernel::PoolConfiguration>)>;

  ActiveConfiguration(const platform::StoreFormat &Format, kernel::DecisionLog &Log,
                      ChangeHandler OnChange);

  /// Source names where the document comes from, for the log.
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
