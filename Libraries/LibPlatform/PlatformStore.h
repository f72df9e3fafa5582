#pragma once

#include "Libraries/LibCore/PluginRegistry.h"
#include "Libraries/LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::platform {

/// Maximum size of a value in the store.
constexpr std::size_t MaximumValueBytes = 1 << 20;

struct StoredValue {
  std::string Value;
  std::uint64_t Revision = 0; ///< Grows with each write of the key; never zero.
};

/// Outcome of a conditional write.
enum class SwapOutcome {
  Applied,
  Conflict, ///< The key has another revision; nothing was written.
  Refused,  ///< The store refused the request or was not reached; nothing was written.
  Unknown   ///< No reply; the write may have taken effect, or may still do so.
};

enum class VmState { Live, Leaving };

/// Entry of the platform's list of entry VMs, which lags behind.
struct VmRecord {
  std::string Name;
  std::string Address; ///< IP address and port of its peer service.
  std::string DataCentre;
  VmState State = VmState::Live;
};

/// The platform's key-value store and VM list. Thread-safe. Each call returns by its deadline.
/// Calls fail with Unavailable or Timeout, besides the errors listed here.
class PlatformStore {
public:
  virtual ~PlatformStore() = default;

  /// NotFound when there is no such key.
  virtual std::optional<StoredValue> get(std::string_view Key, core::TimePoint Deadline) = 0;

  /// Writes if the key's revision is Expected; zero means that the key must not exist. Sets the
  /// last reason for every outcome but Applied.
  virtual SwapOutcome compareAndSwap(std::string_view Key, std::string_view Value,
                                     std::uint64_t Expected, core::TimePoint Deadline) = 0;

  /// NotFound when there is no such key.
  virtual bool remove(std::string_view Key, core::TimePoint Deadline) = 0;

  /// Waits until the key's revision is above AfterRevision. Fails with Timeout when the store
  /// reports no change, with NotFound when AfterRevision is not zero and the key is no longer
  /// there, and with Unavailable when it does not reply. The wait ends two seconds before the
  /// deadline, to allow for a slow reply.
  virtual std::optional<StoredValue> watch(std::string_view Key, std::uint64_t AfterRevision,
                                           core::TimePoint Deadline) = 0;

  virtual std::optional<std::vector<VmRecord>> listVms(core::TimePoint Deadline) = 0;
};

/// Implementations by name; they take the address of the platform, such as 10.0.0.1:8500.
using PlatformStoreRegistry = core::PluginRegistry<PlatformStore, std::string>;

} // namespace cornellift::platform
