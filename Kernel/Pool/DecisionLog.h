#pragma once

#include "Kernel/Pool/JobKey.h"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string_view>
#include <variant>

namespace cornellift::kernel {

/// One input or result of a decision.
struct DecisionField {
  std::string_view Name;
  std::variant<std::int64_t, double, std::string_view> Value;
};

/// Decides which lines are kept when the log volume has to be bounded.
enum class DecisionPriority {
  Routine,    ///< Logged for every served request.
  Notable,    ///< Explains a request that was refused, failed or delayed.
  StateChange ///< A change in the known state of workers, peers, store or configuration.
};

/// Receives one log line per decision. Fields are read before line() returns; Event must be a
/// string literal.
class DecisionLog {
public:
  virtual ~DecisionLog() = default;
  virtual void line(DecisionPriority Priority, std::string_view Event, std::optional<JobKey> Job,
                    std::initializer_list<DecisionField> Fields) = 0;
};

} // namespace cornellift::kernel
