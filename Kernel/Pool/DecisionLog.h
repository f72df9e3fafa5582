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

/// How urgently a line is kept when the volume has to be bounded.
enum class DecisionPriority {
  Routine,    ///< Part of every served request.
  Notable,    ///< Explains a request that was refused, failed or delayed.
  StateChange ///< Changes what the process believes of workers, peers, store or configuration.
};

/// Receives a line for each decision. The fields are read before line() returns; the event is a
/// string literal.
class DecisionLog {
public:
  virtual ~DecisionLog() = default;
  virtual void line(DecisionPriority Priority, std::string_view Event, std::optional<JobKey> Job,
                    std::initializer_list<DecisionField> Fields) = 0;
};

} // namespace cornellift::kernel
