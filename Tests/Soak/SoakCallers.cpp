#include "Tests/Soak/SoakCallers.h"

#include "Libraries/LibCore/Time.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>

#include <httplib.h>

namespace cornellift::soak {
namespace {

using namespace std::chrono_literals;

constexpr auto ResendTime = 1300ms;
constexpr auto ReadTimeout = 4s;
constexpr int MaximumAttempts = 12;
constexpr int StatusNotRun = 503;
constexpr int StatusCancelled = 200;
/// One of this many jobs of a caller is cancelled.
constexpr int JobsPerCancelling = 6;

/// Returns the calling thread's persistent connection to the port.
httplib::Client &clientFor(std::uint16_t Port) {
  thread_local std::map<std::uint16_t, std::unique_ptr<httplib::Client>> Clients;
  auto &Client = Clients[Port];
  if (!Client) {
    Client = std::make_unique<httplib::Client>("127.0.0.1", Port);
    Client->set_keep_alive(true);
    Client->set_connection_timeout(500ms);
    Client->set_read_timeout(ReadTimeout);
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

std::vector<JobOutcome> SoakCallers::outcomes() const {
  std::lock_guard Guard(Mutex_);
  return Outcomes_;
}

void SoakCallers::serve(std::size_t Caller, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed * 1000 + Caller);
  auto Ports = PortsByDataCentre_[Caller % PortsByDataCentre_.size()];
  std::mt19937_64 CancellingRandom(Seed * 1000 + 500 + Caller); // Leaves earlier seeds' jobs alone.
  for (int Job = 1; !Stopping_; ++Job) {
    auto Outcome = Job % JobsPerCancelling == 0 ? runCancelledJob(CancellingRandom, Ports)
                                                : runJob(Random, Ports);
    std::lock_guard Guard(Mutex_);
    Outcomes_.push_back(std::move(Outcome));
  }
}

JobOutcome SoakCallers::runJob(std::mt19937_64 &Random, std::vector<std::uint16_t> &Ports) {
  JobOutcome Outcome;
  Outcome.Key = integration::newJobKey();
  auto Body = integration::jobBody(1 + static_cast<int>(Random() % 5),
                                   20 + static_cast<int>(Random() % 400), "");
  httplib::Headers Headers = {{"Host", integration::PoolHost}, {"Deadline-Ms", "4000"}};
  while (Outcome.IsPending && Outcome.Attempts < MaximumAttempts) {
    ++Outcome.Attempts;
    auto Reply =
        clientFor(Ports[Random() % Ports.size()])
            .Post(integration::PoolPrefix + Outcome.Key, Headers, Body, "application/json");
    if (Reply && Reply->status == StatusNotRun) {
      Outcome.IsPending = false; // A rejection is final: the job is not sent again.
      std::this_thread::sleep_for(100ms);
      continue;
    }
    Outcome.OnlyRejected = false;
    if (Reply && Reply->status == 200) {
      Outcome.IsPending = false;
      Outcome.IsCompleted = Reply->body.find("completed") != std::string::npos;
      Outcome.IsFailed = !Outcome.IsCompleted;
      continue;
    }
    std::this_thread::sleep_for(ResendTime);
  }
  return Outcome;
}

JobOutcome SoakCallers::runCancelledJob(std::mt19937_64 &Random,
                                        std::vector<std::uint16_t> &Ports) {
  JobOutcome Outcome;
  Outcome.Key = integration::newJobKey();
  Outcome.OnlyRejected = false;
  Outcome.IsPending = false; // Whatever the answer is, the job is not sent again.
  auto PostPort = Ports[Random() % Ports.size()];
  std::thread Poster([&] { integration::postJob(PostPort, Outcome.Key, 4, 3500, "", 4000); });
  std::this_thread::sleep_for(std::chrono::milliseconds(Random() % 400));
  auto Reply = clientFor(Ports[Random() % Ports.size()])
                   .Delete(integration::PoolPrefix + Outcome.Key,
                           httplib::Headers{{"Host", integration::PoolHost}});
  if (Reply && Reply->status == StatusCancelled)
    Outcome.CancelledAtMicroseconds = core::MonotonicClock::now().time_since_epoch().count();
  Poster.join();
  return Outcome;
}

} // namespace cornellift::soak
