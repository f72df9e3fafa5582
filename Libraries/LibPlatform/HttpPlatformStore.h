#pragma once

#include "Libraries/LibPlatform/PlatformStore.h"

#include <mutex>
#include <string>
#include <vector>

namespace cornellift::platform {

/// PlatformStore over HTTP; plug-in name "http". Opens a connection for each call: a connection can
/// go silent for good while new ones work, and calls are rare.
class HttpPlatformStore : public PlatformStore {
public:
  explicit HttpPlatformStore(std::string Address);

  std::optional<StoredValue> get(std::string_view Key, core::TimePoint Deadline) override;
  SwapOutcome compareAndSwap(std::string_view Key, std::string_view Value, std::uint64_t Expected,
                             core::TimePoint Deadline) override;
  bool remove(std::string_view Key, core::TimePoint Deadline) override;
  std::optional<StoredValue> watch(std::string_view Key, std::uint64_t AfterRevision,
                                   core::TimePoint Deadline) override;
  std::optional<std::vector<VmRecord>> listVms(core::TimePoint Deadline) override;

private:
  std::string Address_;

  std::mutex Mutex_;    ///< For the members below.
  std::string ListTag_; ///< Entity tag of List_; empty when the platform gives none.
  std::vector<VmRecord> List_;
};

} // namespace cornellift::platform
