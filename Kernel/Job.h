#pragma once

#include "Kernel/Identifiers.h"
#include "Libraries/LibCore/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornellift::kernel {

/// Amounts of a worker's resources: cores, megabytes, devices.
struct Resources {
  double Processors = 0;
  double MemoryMegabytes = 0;
  double Accelerators = 0;

  bool operator==(const Resources &) const = default;
};

/// The caller's declaration of one task. Declarations are often wrong by a factor of ten.
struct TaskSpec {
  Resources Declared;
  core::Duration DeclaredRunTime{0}; ///< On a worker of typical speed; zero when not declared.
  std::uint32_t PayloadBytes = 0;
};

/// Payloads of a job's tasks. The kernel passes them on without interpreting them.
struct JobPayload {
  std::vector<std::string> Tasks;
};

/// A submitted job.
struct JobSpec {
  TeamIndex Team{};
  ServiceIndex Service{};
  KindIndex Kind{};
  std::vector<TaskSpec> Tasks;
  std::optional<core::TimePoint> Deadline;
  std::shared_ptr<const JobPayload> Payload;
};

} // namespace cornellift::kernel
