#pragma once

#include "Kernel/Action.h"
#include "Libraries/LibEndpoint/EndpointProtocol.h"

#include <atomic>
#include <string>

namespace cornellift::entry {

/// One start of a task, from the kernel's action until its outcome is known. Shared by the
/// connection thread and the control thread; the first one that learns the outcome reports it.
class StartSession {
public:
  explicit StartSession(kernel::StartTask Action) : Action(std::move(Action)) {}

  /// Marks the outcome as reported. Returns true for the first caller only.
  bool settle() { return !Settled_.exchange(true); }
  bool isSettled() const { return Settled_.load(); }

  const kernel::StartTask Action;

  /// Boot identifier of the endpoint that the start was sent to. Guarded by the link's mutex, like
  /// Connection.
  std::string Boot;
  endpoint::EndpointProtocol *Connection = nullptr; ///< Null unless the start is in progress on it.

private:
  std::atomic<bool> Settled_{false};
};

} // namespace cornellift::entry
