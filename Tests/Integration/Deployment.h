#pragma once

#include "Tests/Integration/HttpCall.h"
#include "Tests/Integration/TestProcess.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::integration {

struct DeploymentOptions {
  std::vector<std::string> DataCentres = {"ikeja", "yaba"};
  unsigned EntryVmsPerDataCentre = 2;
  unsigned EndpointsPerDataCentre = 3;
};

/// A complete deployment of real processes on loopback. Every connection between entry VMs, from
/// them to the platform and to the endpoints, and from callers to entry VMs goes through the fault
/// proxy.
///
/// Links are called peer-FROM-TO, platform-VM, endpoint-DC-N and caller-VM.
class Deployment {
public:
  /// Starts everything and waits until every entry VM is ready. Throws std::runtime_error with the
  /// log directory in the message when that fails.
  explicit Deployment(const std::string &Name, DeploymentOptions Options = {});
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  const std::vector<std::string> &entryVms() const { return EntryVms_; }
  TestProcess &entry(const std::string &Vm) { return *Entries_.at(Vm); }
  TestProcess &endpoints(const std::string &DataCentre) { return *Endpoints_.at(DataCentre); }

  /// Starts the entry VM's process again; does not wait until it is ready.
  void startEntry(const std::string &Vm);
  void waitReady(const std::string &Vm);
  bool isReady(const std::string &Vm);

  /// Sends a caller's request through the link caller-VM.
  HttpReply call(const std::string &Vm, std::string_view Method, const std::string &Path,
                 const nlohmann::json &Body = nullptr, int Seconds = 30);
  /// Sends an operator's request directly to the VM, not through the proxy.
  HttpReply callAsOperator(const std::string &Vm, std::string_view Method, const std::string &Path,
                           const nlohmann::json &Body = nullptr);
  /// Patches the configuration as an operator, based on the given version.
  HttpReply patch(const std::string &Vm, std::uint64_t BaseVersion, const std::string &PatchId,
                  const nlohmann::json &Change);
  /// Configuration version in force in the VM's process; zero when it does not answer.
  std::uint64_t versionOf(const std::string &Vm);

  /// An unused job identifier issued by that entry VM.
  std::string newIdentifier(const std::string &Vm);
  /// Body of a job with Count tasks that take RunMilliseconds each on a worker of speed 1.
  static nlohmann::json job(const std::string &Id, unsigned Count, unsigned RunMilliseconds);
  /// Submits and waits for the answer.
  HttpReply submit(const std::string &Vm, const nlohmann::json &Job, int Seconds = 30);

  /// Sends a control request for links of the proxy; fails the test when the proxy rejects it.
  void controlLink(const std::string &Link, const std::string &Verb,
                   const nlohmann::json &Body = {});
  nlohmann::json links();
  bool hasFired(const std::string &Link);
  /// Partitions the entry VMs of two data centres: open connections go silent, new ones hang. Calls
  /// from one data centre to endpoints of the other one still pass.
  void separate(const std::string &One, const std::string &Other);
  /// Returns whether the entry VM reports the data centre as cut off.
  bool isCutOff(const std::string &Vm, const std::string &DataCentre);
  void separateFromPlatform(const std::string &DataCentre);
  void reconnect();
  void platformFault(const nlohmann::json &Switches);
  /// Marks the entry VM or endpoint as leaving in the platform's list, which lags by a second.
  void markLeaving(const std::string &Name);
  /// Port for callers and operators, which is not behind the proxy.
  std::uint16_t httpPort(const std::string &Vm) const { return Ports_.at("http-" + Vm); }
  std::uint16_t endpointPort(const std::string &DataCentre, unsigned Number) const;

  /// Number of starts by task id, from the endpoints' own log.
  std::map<std::string, unsigned> starts() const;
  unsigned startsOfJob(const std::string &Id) const;
  unsigned startsAt(const std::string &DataCentre, unsigned Number) const;

  /// Checks the invariants of every test case: no task id started twice, and no process applied a
  /// lower configuration version after a higher one.
  void checkGuarantees() const;

private:
  void pickPorts();
  void startProxy();
  void startPlatform();
  void publishList(const std::string &LeavingName);
  void startEndpoints();
  void seedConfiguration();
  nlohmann::json configuration() const;
  std::string logPath(const std::string &File) const { return Directory_ + "/" + File; }

  DeploymentOptions Options_;
  std::string Directory_;
  std::vector<std::string> EntryVms_;
  std::map<std::string, std::string> DataCentreOf_;
  std::map<std::string, std::uint16_t> Ports_;
  std::map<std::string, unsigned> Starts_;
  std::unique_ptr<TestProcess> Proxy_;
  std::unique_ptr<TestProcess> Platform_;
  std::map<std::string, std::unique_ptr<TestProcess>> Endpoints_;
  std::map<std::string, std::unique_ptr<TestProcess>> Entries_;
};

/// Waits until the condition holds, at most the given seconds; returns whether it holds.
bool waitUntil(const std::function<bool()> &Condition, int Seconds = 20);

/// Checks that an answer is one of the three outcomes, complete, and consistent with the endpoints'
/// log.
void checkAnswer(const Deployment &Running, const nlohmann::json &Job, const HttpReply &Answer);

} // namespace cornellift::integration
