#pragma once

#include "Tests/Integration/TestProcess.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornellift::integration {

/// One run of a task, as a worker saw it.
struct ObservedRun {
  std::string Job;
  int Step = 0;
  int Index = 0;
  std::string Worker;
  std::int64_t FromMicroseconds = 0;
  std::int64_t ToMicroseconds = 0; ///< Zero while it runs.
  std::string End;
};

/// An entry process of a deployment.
struct PoolVm {
  std::string Name;
  std::string DataCentre;
  std::uint16_t CallerPort = 0;
  std::uint16_t ReadinessPort = 0;
  std::uint16_t MeshPort = 0;
  std::uint16_t MetricsPort = 0;
  std::string LogFile;
  std::string SettingsFile; ///< Read in addition to the command line; empty at first.
  std::optional<TestProcess> Process;
};

struct PoolDeploymentSettings {
  std::vector<std::string> DataCentres = {"ikeja", "yaba"};
  std::size_t VmsPerDataCentre = 2;
  std::size_t WorkersPerDataCentre = 4;
  std::string Speeds = "1";
  double StopSeconds = 6;
  int HeaderTimeoutMilliseconds = 3000;
  int IdleTimeoutMilliseconds = 15000;
};

/// Entry processes for leased workers, the stand-in for their platform, and a fault proxy in front
/// of each process's mesh port and between each process and the store, all on loopback.
class PoolDeployment {
public:
  /// Name is that of the log folder below integration-logs.
  PoolDeployment(const std::string &Name, const PoolDeploymentSettings &Settings);
  ~PoolDeployment();

  std::vector<PoolVm> &vms() { return Vms_; }
  PoolVm &vm(const std::string &Name);
  void startVm(PoolVm &Vm);

  /// Waits until all running VMs are ready and each data centre's workers are held by its own VMs.
  /// Returns false after the given seconds.
  bool waitUntilReady(int Seconds = 15);
  static bool isReady(const PoolVm &Vm);

  /// Calls the stand-in's control port; returns the body, which is empty when no reply arrived.
  std::string control(const std::string &Method, const std::string &Path,
                      const std::string &Body = "") const;
  /// Sends a control request for the proxy's links that match Pattern, such as `mesh-ikeja-1` or
  /// `store-yaba-*`; returns whether the proxy accepted it.
  bool controlLink(const std::string &Pattern, const std::string &Verb,
                   const nlohmann::json &Body = nlohmann::json::object()) const;

  /// Writes a configuration with that version and a route with each prefix.
  void configure(std::uint64_t Version, const std::vector<std::string> &Prefixes) const;
  /// Writes a configuration with the usual route and Count added ones, of some 190 bytes each.
  void configureManyRoutes(std::uint64_t Version, int Count) const;
  /// Running VMs on which another version is in force.
  std::vector<std::string> vmsWithoutVersion(std::uint64_t Version);

  /// Writes or removes the operators' request to evacuate the data centre.
  void setEvacuated(const std::string &DataCentre, bool IsEvacuated) const;

  std::vector<ObservedRun> runs() const;
  /// The data centre of a worker, by its id.
  const std::string &dataCentreOf(const std::string &Worker) const;
  /// Number of runs that workers of the data centre have started.
  std::size_t startsIn(const std::string &DataCentre) const;
  /// Describes each task that had two runs at the same time.
  std::vector<std::string> overlaps() const;

  /// Value of a metric of the VM; empty when it is not exported.
  static std::optional<double> metric(const PoolVm &Vm, const std::string &Name);

  /// Name of the running VM that holds the data centre's workers; empty when none does.
  std::string managerOf(const std::string &DataCentre);

  std::size_t workerCount() const {
    return Settings_.DataCentres.size() * Settings_.WorkersPerDataCentre;
  }

private:
  bool areAllWorkersHeld();
  void startStandIn();
  void startProxy();
  void writeConfiguration(const std::string &Path) const;

  PoolDeploymentSettings Settings_;
  std::string Folder_;
  std::optional<TestProcess> StandIn_;
  std::optional<TestProcess> Proxy_;
  std::uint16_t ControlPort_ = 0;
  std::uint16_t StorePort_ = 0;
  std::uint16_t ProxyPort_ = 0;
  std::map<std::string, std::uint16_t> Links_;
  std::vector<PoolVm> Vms_;
};

/// Answer that a caller got for one job.
struct JobReply {
  int Status = 0;    ///< Zero when no complete answer arrived.
  std::string State; ///< State of the job in an answer with status 200.
  int RetryAfterSeconds = 0;
  bool WasConnected = false; ///< The VM accepted the connection.
};

/// Posts a job of equal tasks to a caller port and waits for its end, on a connection of its own.
JobReply postJob(std::uint16_t Port, const std::string &Key, int Tasks, int RunMilliseconds,
                 const std::string &Extra = "", int TimeoutMilliseconds = 8000);

/// Body of such a job, in the platform's format.
std::string jobBody(int Tasks, int RunMilliseconds, const std::string &Extra);

/// A job identifier that was not used before.
std::string newJobKey();

/// Host and path prefix of the deployment's first route.
extern const char *const PoolHost;
extern const char *const PoolPrefix;

} // namespace cornellift::integration
