#include "Tests/Kernel/MembershipNetwork.h"

#include <cstdio>
#include <ctime>

// Messages and processor time of the failure detector alone, on a virtual clock: seven VMs in each
// data centre, first idle, then with restarts at the rate of the two-year size, sped up 20 times.
// Prints one line per size: VMs, probes and announcements per VM and second, processor microseconds
// per VM and second.

using namespace cornellift::kernel;
using namespace std::chrono_literals;
using cornellift::kernel::testing::MembershipNetwork;

namespace {

constexpr int VmsPerCentre = 7;
constexpr int IdleSeconds = 60;
constexpr int RestartSeconds = 600;
/// 313 failed, restarted or replaced VMs of 63 a day; a restart here every 86,400 / 313 / 20 s.
constexpr int RestartInterval = 14;
constexpr int SpeedUp = 20;

double processorSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

void measure(int Centres) {
  MembershipNetwork Net;
  for (int Number = 0; Number < Centres; ++Number)
    Net.addDataCentre(std::string(1, static_cast<char>('a' + Number)), VmsPerCentre);
  Net.runFor(20s);
  double Vms = Centres * VmsPerCentre;
  Net.ProbesSent = Net.AnnouncementsSent = 0;
  auto Before = processorSeconds();
  Net.runFor(std::chrono::seconds(IdleSeconds));
  double Work = (processorSeconds() - Before) * 1e6 / IdleSeconds / Vms;
  double Probes = static_cast<double>(Net.ProbesSent) / IdleSeconds / Vms;
  double Idle = static_cast<double>(Net.AnnouncementsSent) / IdleSeconds / Vms;
  Net.AnnouncementsSent = 0;
  int Restarts = 0;
  for (int Second = 0; Second < RestartSeconds; Second += RestartInterval) {
    auto Centre = std::string(1, static_cast<char>('a' + Restarts % Centres));
    Net.start(Centre + "-" + std::to_string(1 + Restarts / Centres % VmsPerCentre), Centre);
    ++Restarts;
    Net.runFor(std::chrono::seconds(RestartInterval));
  }
  double Churn = static_cast<double>(Net.AnnouncementsSent) / RestartSeconds / SpeedUp / Vms;
  std::printf("vms=%.0f probes=%.2f announcements_idle=%.4f announcements_restarts=%.4f "
              "processor_us=%.0f\n",
              Vms, Probes, Idle, Churn, Work);
}

} // namespace

int main() {
  for (int Centres : {1, 3, 6, 9})
    measure(Centres);
}
