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

/// Longest value that the store takes.
constexpr std::size_t MaximumValueBytes = 1 << 20;

struct StoredValue {
  std::string Value;
  std::uint64_t Revision = 0; ///< Grows with each write of the key; never zero.
};

/// What is known of a conditional write.
enum class SwapOutcome {
  Applied,
  Conflict, ///< The key has another revision; nothing was written.
  Refused,  ///< The store refused the request or was not reached; nothing was written.
  Unknown   ///< No reply came; the write may have taken effect, or may still do so.
};

enum class VmState { Live, Leaving };

/// An entry of the platform's lagging list of entry VMs.
struct VmRecord {
  std::string Name;
  std::string Address; ///< IP number and port of its peer service.
  std::string DataCentre;
  VmState State = VmState::Live;
};

/// The platform's key-value service and VM list. Safe to use from every thread. Each call ends at
/// its deadline at the latest. Failures are Unavailable or Timeout besides those named here.
class PlatformStore {
public:
  virtual ~PlatformStore() = default;

  /// NotFound when there is no such key.
  virtual std::optional<StoredValue> get(std::string_view Key, core::TimePoint Deadline) = 0;

  /// Writes if the key's revision is Expected; zero expects that there is no such key. The last
  /// reason is set for every outcome but Applied.
  virtual SwapOutcome compareAndSwap(std::string_view Key, std::string_view Value,
                                     std::uint64_t Expected, core::TimePoint Deadline) = 0;

  /// NotFound when there is no such key.
  virtual bool remove(std::string_view Key, core::TimePoint Deadline) = 0;

  /// Waits until the key's revision is above AfterRevision. Timeout when the store says that this
  /// did not happen; Unavailable when it does not reply. The last two seconds before the deadline
  /// are kept for a slow reply.
  virtual std::optional<StoredValue> watch(std::string_view Key, std::uint64_t AfterRevision,
                                           core::TimePoint Deadline) = 0;

  virtual std::optional<std::vector<VmRecord>> listVms(core::TimePoint Deadline) = 0;
};

/// Implementations by name; made with the address of the platform, such as 10.0.0.1:8500.
using PlatformStoreRegistry = core::PluginRegistry<PlatformStore, std::string>;

} // namespace cornellift::platform
