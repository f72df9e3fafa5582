#include "Tests/Integration/Eventually.h"
#include "Tests/Integration/PoolDeployment.h"

#include <chrono>
#include <fstream>
#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>

using namespace cornellift::integration;
using namespace std::chrono_literals;

namespace {

constexpr int LargeRoutes = 5000;    ///< A document of 950 KB; the store accepts up to 1 MB.
constexpr double LargeBytes = 900e3; ///< Less than the size of that document.
constexpr int BlockDelay = 50;     ///< Milliseconds for each block of at most 64 KB on a slow link.
constexpr auto InForceTarget = 5s; ///< From the acceptance of a change.

bool hasVersion(const PoolVm &Vm, double Version) {
  return PoolDeployment::metric(Vm, "cornellift_configuration_version") == Version;
}

double sumOf(PoolDeployment &Deployment, const std::string &Metric) {
  double Sum = 0;
  for (auto &Vm : Deployment.vms())
    Sum += PoolDeployment::metric(Vm, Metric).value_or(0);
  return Sum;
}

std::size_t linesWith(PoolDeployment &Deployment, const std::string &Text) {
  std::size_t Count = 0;
  for (auto &Vm : Deployment.vms()) {
    std::ifstream File(Vm.LogFile);
    for (std::string Line; std::getline(File, Line);)
      Count += Line.find(Text) != std::string::npos ? 1 : 0;
  }
  return Count;
}

} // namespace

// Guards against issue 18: a VM that got a large configuration late from the store requested it
// from every other VM at once, and the copies filled the links of all.
BOOST_AUTO_TEST_CASE(ALateVmRequestsOneCopyAtATime) {
  PoolDeploymentSettings Settings;
  Settings.VmsPerDataCentre = 4;
  Settings.WorkersPerDataCentre = 1;
  PoolDeployment Deployment("ConfigurationCopiesOne", Settings);
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto &Late = Deployment.vm("yaba-4");
  BOOST_REQUIRE(Deployment.controlLink("store-yaba-4", "admission", {{"mode", "refuse"}}));
  BOOST_REQUIRE(Deployment.controlLink("store-yaba-4", "open", {{"action", "cut"}}));
  BOOST_REQUIRE(Deployment.controlLink("mesh-yaba-4", "delay", {{"milliseconds", BlockDelay}}));
  Deployment.configureManyRoutes(2, LargeRoutes);
  BOOST_TEST(eventually([&] { return hasVersion(Late, 2); }, InForceTarget));
  std::this_thread::sleep_for(1s);
  // One copy; a second one only if the first VM that was asked did not answer in time.
  BOOST_TEST(sumOf(Deployment, "cornellift_configuration_copy_bytes_sent_total") <=
             2.5 * LargeBytes);
}

// Guards against issue 18: a large document took longer on a slow link than frames may stay
// unacknowledged, so that the link was replaced and the copy began again, without end.
BOOST_AUTO_TEST_CASE(ALargeCopyArrivesOverASlowLink) {
  PoolDeployment Deployment("ConfigurationCopiesSlow", {});
  BOOST_REQUIRE(Deployment.waitUntilReady());
  auto &Late = Deployment.vm("yaba-2");
  BOOST_REQUIRE(Deployment.controlLink("store-yaba-2", "admission", {{"mode", "refuse"}}));
  BOOST_REQUIRE(Deployment.controlLink("store-yaba-2", "open", {{"action", "cut"}}));
  BOOST_REQUIRE(Deployment.controlLink("mesh-*", "delay", {{"milliseconds", BlockDelay}}));
  std::this_thread::sleep_for(1s);
  auto LostBefore = linesWith(Deployment, "peer lost");
  Deployment.configureManyRoutes(2, LargeRoutes);
  BOOST_TEST(eventually([&] { return hasVersion(Late, 2); }, InForceTarget));
  BOOST_TEST(linesWith(Deployment, "peer lost") == LostBefore);
}
