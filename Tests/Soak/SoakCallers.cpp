#include "Tests/Soak/SoakCallers.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>

#include <httplib.h>

namespace cornellift::soak {
namespace {

using namespace std::chrono_literals;

constexpr auto ResendTime = 1300ms;
constexpr auto Patience = 4s;
constexpr int MostAttempts = 12;
constexpr int StatusNotRun = 503;

/// One caller's open connections, by port.
httplib::Client &clientFor(std::uint16_t Port) {
  thread_local std::map<std::uint16_t, std::unique_ptr<httplib::Client>> Clients;
  auto &Client = Clients[Port];
  if (!Client) {
    Client = std::make_unique<httplib::Client>("127.0.0.1", Port);
    Client->set_keep_alive(true);
    Client->set_connection_timeout(500ms);
    Client->set_read_timeout(Patience);
  }
  return *Client;
}

} // namespace

SoakCallers::SoakCallers(integration::PoolDeployment &Deployment, std::uint64_t Seed,
                         std::size_t Count) {
  std::map<std::string, std::vector<std::uint16_t>> Ports;
  for (const auto &Vm : Deployment.vms())
    Ports[Vm.DataCentre].push_back(Vm.CallerPort);
  for (auto &[Name, List] : Ports)
    PortsByDataCentre_.push_back(std::move(List));
  for (std::size_t Each = 0; Each < Count; ++Each)
    Threads_.emplace_back([this, Each, Seed] { serve(Each, Seed); });
}

SoakCallers::~SoakCallers() { finish(); }

void SoakCallers::finish() {
  Stopping_ = true;
  for (auto &Thread : Threads_)
    if (Thread.joinable())
      Thread.join();
}

std::vector<JobFate> SoakCallers::fates() const {
  std::lock_guard Guard(Mutex_);
  return Fates_;
}

void SoakCallers::serve(std::size_t Caller, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed * 1000 + Caller);
  auto Ports = PortsByDataCentre_[Caller % PortsByDataCentre_.size()];
  while (!Stopping_) {
    auto Fate = runJob(Random, Ports);
    std::lock_guard Guard(Mutex_);
    Fates_.push_back(std::move(Fate));
  }
}

JobFate SoakCallers::runJob(std::mt19937_64 &Random, std::vector<std::uint16_t> &Ports) {
  JobFate Fate;
  Fate.Key = integration::newJobKey();
  auto Body = integration::jobBody(1 + static_cast<int>(Random() % 5),
                                   20 + static_cast<int>(Random() % 400), "");
  httplib::Headers Headers = {{"Host", integration::PoolHost}, {"Deadline-Ms", "4000"}};
  while (Fate.IsOpen && Fate.Attempts < MostAttempts) {
    ++Fate.Attempts;
    auto Reply = clientFor(Ports[Random() % Ports.size()])
                     .Post(integration::PoolPrefix + Fate.Key, Headers, Body, "application/json");
    if (Reply && Reply->status == StatusNotRun) {
      Fate.IsOpen = false; // The caller takes the refusal for what it is.
      std::this_thread::sleep_for(100ms);
      continue;
    }
    Fate.OnlyRejected = false;
    if (Reply && Reply->status == 200) {
      Fate.IsOpen = false;
      Fate.IsCompleted = Reply->body.find("completed") != std::string::npos;
      Fate.IsFailed = !Fate.IsCompleted;
      continue;
    }
    std::this_thread::sleep_for(ResendTime);
  }
  return Fate;
}

} // namespace cornellift::soak
