#pragma once

#include "Libraries/LibConfiguration/HeadDelta.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornellift::entry {

/// The configuration in force in this process, for the peers that fetch it. Thread-safe.
class ConfigurationSource {
public:
  virtual ~ConfigurationSource() = default;

  /// Zero until a configuration is in force.
  virtual std::uint64_t version() const = 0;

  /// The head of that version in the platform's store, as JSON text.
  virtual std::string headText() const = 0;

  /// The changes from the given version to the one in force; empty when the history no longer
  /// covers them.
  virtual std::optional<configuration::HeadDelta> changesSince(std::uint64_t Version) const = 0;

  /// Puts a head received from the store or a peer in force. Returns false, and changes nothing,
  /// when its version is not higher than the one in force or when it is invalid.
  virtual bool updateIfNewer(std::string_view HeadText) = 0;

  /// Called when a peer reports a version; one above that in force is fetched without blocking the
  /// calling thread.
  virtual void notifyNewer(std::uint64_t Version) = 0;
};

} // namespace cornellift::entry
