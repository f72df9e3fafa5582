#pragma once

#include "Libraries/LibPlatform/PlatformStore.h"

#include <mutex>
#include <string>
#include <vector>

namespace cornellift::platform {

/// PlatformStore over HTTP; plug-in name "http". Opens a connection for each call, since calls are
/// rare and a reused connection can become unresponsive for good while new ones work.
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

  std::mutex Mutex_;    ///< Guards the members below.
  std::string ListTag_; ///< Entity tag of List_; empty when the platform sends none.
  std::vector<VmRecord> List_;
};

} // namespace cornellift::platform
