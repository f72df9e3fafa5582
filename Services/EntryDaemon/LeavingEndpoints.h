#pragma once

#include "Services/EntryDaemon/CurrentConfiguration.h"
#include "Services/EntryDaemon/EventPoster.h"

#include <string_view>

namespace cornellift::entry {

/// Notifies the kernel of endpoints whose VM is marked as leaving in the platform's list. The list
/// contains each endpoint under its name in the configuration. Thread-safe.
class LeavingEndpoints {
public:
  LeavingEndpoints(EventPoster &Kernel, const CurrentConfiguration &Configuration)
      : Kernel_(Kernel), CurrentConfiguration_(Configuration) {}

  /// True if the configuration in force has a local endpoint of this name.
  bool isEndpoint(std::string_view Name) const;

  /// Stops task starts on the endpoint for some time. To be called again for as long as the
  /// list marks the endpoint as leaving.
  void reportLeaving(std::string_view Name);

private:
  EventPoster &Kernel_;
  const CurrentConfiguration &CurrentConfiguration_;
};

} // namespace cornellift::entry
