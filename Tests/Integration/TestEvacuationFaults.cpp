// Evacuated data centres with real processes. The bound is the platform's: five seconds after the
// store has acknowledged the request nothing more is started there.
#include "Tests/Integration/Eventually.h"
#include "Tests/Integration/PoolDeployment.h"

#include <atomic>
#include <chrono>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace cornellift::integration;
using namespace std::chrono_literals;

namespace {

constexpr auto Bound = 5s;
constexpr const char *Evacuated = "ikeja";

/// A deployment under light load.
struct LoadedDeployment {
  explicit LoadedDeployment(const std::string &Name) : Deployment(Name, {}) {
    BOOST_REQUIRE(Deployment.waitUntilReady());
    for (std::size_t Caller = 0; Caller < 4; ++Caller)
      Callers.emplace_back([this, Caller] {
        for (std::size_t Turn = Caller; !IsStopping; ++Turn) {
          auto Port = Deployment.vms()[Turn % Deployment.vms().size()].CallerPort;
          if (postJob(Port, newJobKey(), 2, 50).Status != 200)
            std::this_thread::sleep_for(50ms);
        }
      });
    BOOST_TEST(startsWithin(5s));
  }
  ~LoadedDeployment() {
    IsStopping = true;
    for (auto &Caller : Callers)
      Caller.join();
  }

  /// Returns whether another run starts in the evacuated data centre within the limit.
  bool startsWithin(std::chrono::seconds Limit) const {
    auto Before = Deployment.startsIn(Evacuated);
    return eventually([&] { return Deployment.startsIn(Evacuated) > Before; }, Limit);
  }

  void restartAllVms() {
    for (auto &Vm : Deployment.vms())
      Vm.Process->kill();
    for (auto &Vm : Deployment.vms())
      Deployment.startVm(Vm);
    BOOST_REQUIRE(Deployment.waitUntilReady());
  }

  PoolDeployment Deployment;
  std::atomic<bool> IsStopping{false};
  std::vector<std::thread> Callers;
};

} // namespace

// Guards against starts in an evacuated data centre, before and after a restart of all VMs, and
// against one that stays unused once it has been restored.
BOOST_AUTO_TEST_CASE(NothingStartsUntilRestored) {
  LoadedDeployment Case("Evacuation");
  Case.Deployment.setEvacuated("nowhere", true);
  Case.Deployment.setEvacuated(Evacuated, true);
  std::this_thread::sleep_for(Bound);
  BOOST_TEST(!Case.startsWithin(2s));
  BOOST_TEST(
      PoolDeployment::metric(Case.Deployment.vms().front(), "cornellift_evacuated_data_centres")
          .value_or(0) == 1.0);
  Case.restartAllVms();
  BOOST_TEST(!Case.startsWithin(2s));
  Case.Deployment.setEvacuated(Evacuated, false);
  BOOST_TEST(Case.startsWithin(Bound));
  BOOST_TEST(Case.Deployment.overlaps().empty());
}

// Guards against VMs that the store turns away and that are not told by their peers, also if one
// link between the data centres passes messages one way only.
BOOST_AUTO_TEST_CASE(VmsWithoutTheStoreAreTold) {
  LoadedDeployment Case("EvacuationTold");
  Case.Deployment.controlLink("store-ikeja-*", "admission", {{"mode", "refuse"}});
  Case.Deployment.controlLink("store-ikeja-*", "open", {{"action", "cut"}});
  Case.Deployment.controlLink("mesh-yaba-1", "open", {{"action", "silence_up"}});
  Case.Deployment.setEvacuated(Evacuated, true);
  std::this_thread::sleep_for(Bound);
  BOOST_TEST(!Case.startsWithin(2s));
  Case.Deployment.setEvacuated(Evacuated, false);
  BOOST_TEST(Case.startsWithin(Bound));
}
