#pragma once

#include "Services/EntryDaemon/CurrentConfiguration.h"
#include "Services/EntryDaemon/EventPoster.h"

#include <string_view>

namespace cornellift::entry {

/// Tells the kernel of endpoints whose VM the platform's list shows as leaving. Endpoints stand in
/// that list under their name in the configuration. Safe to use from every thread.
class LeavingEndpoints {
public:
  LeavingEndpoints(EventPoster &Kernel, const CurrentConfiguration &Configuration)
      : Kernel_(Kernel), CurrentConfiguration_(Configuration) {}

  bool isEndpoint(std::string_view Name) const;

  /// The kernel starts nothing there for a while; the mark is repeated as long as the list has it.
  void note(std::string_view Name);

private:
  EventPoster &Kernel_;
  const CurrentConfiguration &CurrentConfiguration_;
};

} // namespace cornellift::entry
