#pragma once

#include "Kernel/Identifiers.h"

#include <map>
#include <mutex>
#include <string>

namespace cornellift::entry {

/// Names of the entry VMs that issued identifiers which this process handles: its own, and those
/// whose state or delegated tasks it took over. Safe to use from every thread.
class IssuerNames {
public:
  explicit IssuerNames(std::string OwnName) : OwnName_(std::move(OwnName)) {}

  /// Records whose incarnation this is. The peer duty calls it before it posts a delegated task or
  /// a transferred state.
  void add(kernel::Incarnation Issuer, std::string EntryVm) {
    std::lock_guard Guard(Mutex_);
    Others_[Issuer] = std::move(EntryVm);
  }

  /// The own name for an incarnation that was not added.
  std::string nameOf(kernel::Incarnation Issuer) const {
    std::lock_guard Guard(Mutex_);
    auto Found = Others_.find(Issuer);
    return Found == Others_.end() ? OwnName_ : Found->second;
  }

private:
  const std::string OwnName_;
  mutable std::mutex Mutex_;
  std::map<kernel::Incarnation, std::string> Others_;
};

} // namespace cornellift::entry
