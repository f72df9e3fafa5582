#pragma once

#include "Services/EntryDaemon/ConfigurationBoard.h"
#include "Services/EntryDaemon/EventPoster.h"

#include <string_view>

namespace cornellift::entry {

/// Tells the kernel of endpoints whose VM the platform's list shows as leaving. Endpoints stand in
/// that list under their name in the configuration. Safe to use from every thread.
class LeavingEndpoints {
public:
  LeavingEndpoints(EventPoster &Kernel, const ConfigurationBoard &Board)
      : Kernel_(Kernel), Board_(Board) {}

  bool isEndpoint(std::string_view Name) const;

  /// The kernel starts nothing there for a while; the mark is repeated as long as the list has it.
  void note(std::string_view Name);

private:
  EventPoster &Kernel_;
  const ConfigurationBoard &Board_;
};

} // namespace cornellift::entry
