#pragma once

#include "Libraries/LibConfiguration/HeadDelta.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornellift::entry {

/// The configuration in force in this process, for the peers that fetch it. Safe to use from every
/// thread.
class ConfigurationSource {
public:
  virtual ~ConfigurationSource() = default;

  /// Zero until a configuration has been learned.
  virtual std::uint64_t version() const = 0;

  /// The head value of that version as stored in the platform, as JSON text.
  virtual std::string headText() const = 0;

  /// What leads from that version to the one in force; empty when it is not known any more.
  virtual std::optional<configuration::HeadDelta> changesSince(std::uint64_t Version) const = 0;

  /// Applies a head learned from a peer. Returns false, and changes nothing, when its version is
  /// not higher than the one in force or when it does not pass the checks.
  virtual bool offer(std::string_view HeadText) = 0;

  /// Called when a peer reports a version above the own one; fetches it without blocking the
  /// caller.
  virtual void notifyNewer(std::uint64_t Version) = 0;
};

} // namespace cornellift::entry
