#pragma once

#include "Kernel/Action.h"
#include "Libraries/LibEndpoint/EndpointProtocol.h"

#include <atomic>
#include <string>

namespace cornellift::entry {

/// One start of a task, from the kernel's action until its fate is known. The connection thread and
/// the question thread share it; the first of them that learns the fate reports it.
class StartSession {
public:
  explicit StartSession(kernel::StartTask Action) : Action(std::move(Action)) {}

  /// True for the first caller only.
  bool settle() { return !Settled_.exchange(true); }
  bool isSettled() const { return Settled_.load(); }

  const kernel::StartTask Action;

  /// The endpoint's run that the start was sent to. Guarded by the link's mutex, like Connection.
  std::string Boot;
  endpoint::EndpointProtocol *Connection = nullptr; ///< While the start is under way on it.

private:
  std::atomic<bool> Settled_{false};
};

} // namespace cornellift::entry
