#pragma once

#include "Libraries/LibCore/Settings.h"
#include "Libraries/LibCore/Time.h"
#include "Utilities/Operator/OperatorClient.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include <nlohmann/json.hpp>

namespace cornellift::operators {

/// The commands of cornellift-operator. Each returns the exit status.
class OperatorCommand {
public:
  explicit OperatorCommand(const core::Settings &Settings);

  core::ExitStatus run();

private:
  using Json = nlohmann::json;

  core::ExitStatus patch(const std::string &Path) const;
  core::ExitStatus seed(const std::string &Path) const;
  core::ExitStatus undo(const std::string &Version) const;
  core::ExitStatus drainEndpoint(const std::string &Endpoint) const;
  core::ExitStatus drain(const std::string &EntryVm) const;
  core::ExitStatus show() const;
  core::ExitStatus version() const;
  core::ExitStatus difference(std::span<const std::string> Versions) const;
  core::ExitStatus audit(std::span<const std::string> Versions) const;
  core::ExitStatus status() const;
  core::ExitStatus check(const std::string &Path) const;
  core::ExitStatus explain(const std::string &Job, std::span<const std::string> Paths) const;

  core::ExitStatus where(const std::string &Host, const std::string &RequestPath,
                         const std::string &JobFile) const;

  core::ExitStatus sendChange(std::uint64_t Base, const Json &Patch, const std::string &Why) const;

  /// The value of --base-version; zero stands for the version in force.
  std::uint64_t requestedBaseVersion() const;

  /// Returns the answer when its status is 200. Otherwise reports the failure and sets Status.
  std::optional<Json> read(const std::string &Path, core::ExitStatus &Status) const;
  std::optional<Json> readFile(const std::string &Path) const;
  core::ExitStatus reportFailure(core::ExitStatus Status, const std::string &Message) const;

  const core::Settings &Settings_;
  OperatorClient Client_;
  const core::TimePoint Deadline_;
};

} // namespace cornellift::operators
