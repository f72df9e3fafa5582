#pragma once

#include "Kernel/Identifiers.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace cornellift::entry {

/// Names of the entry VMs that issued the identifiers which this process handles: its own, and
/// those whose state or delegated tasks it has received. Thread-safe.
class IssuerNames {
public:
  explicit IssuerNames(std::string OwnName) : OwnName_(std::move(OwnName)) {}

  /// Records the entry VM of an incarnation. Called before a delegated task or a transferred state
  /// is posted to the kernel.
  void add(kernel::Incarnation Issuer, std::string EntryVm) {
    std::lock_guard Guard(Mutex_);
    Others_[Issuer.Value] = std::move(EntryVm);
  }

  /// Returns the name of this process's VM for an incarnation that was not added.
  std::string nameOf(kernel::Incarnation Issuer) const {
    std::lock_guard Guard(Mutex_);
    auto Found = Others_.find(Issuer.Value);
    return Found == Others_.end() ? OwnName_ : Found->second;
  }

private:
  const std::string OwnName_;
  mutable std::mutex Mutex_;
  std::map<std::uint64_t, std::string> Others_; ///< By the incarnation's value.
};

} // namespace cornellift::entry
