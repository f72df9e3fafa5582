#include "Services/EntryDaemon/Daemon.h"

#include "Kernel/Scheduling/PolicyScheduler.h"
#include "Libraries/LibConfiguration/Document.h"
#include "Libraries/LibCore/Log.h"
#include "Libraries/LibCore/Reason.h"
#include "Services/EntryDaemon/CallerMessages.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <random>
#include <thread>
#include <utility>

namespace cornellift::entry {
namespace {

constexpr core::Duration DrainCheckInterval = std::chrono::milliseconds(10);
/// Last part of a planned stop, in which no more tasks are started, so that jobs that cannot end,
/// such as those without any slot, get an outcome before the process exits. A few tasks take
/// seconds.
constexpr core::Duration MaximumWindDown = std::chrono::seconds(5);
constexpr int WindDownDivisor = 4; ///< That part takes at most the stop time divided by this.

std::uint64_t drawRandom() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32) | Source();
}

http::ServerLimits serverLimits(const DaemonSettings &Settings) {
  http::ServerLimits Limits;
  Limits.Connections = Settings.HttpConnections;
  Limits.BodyBytes = MaximumBodyBytes;
  return Limits;
}

/// Body of error responses that the HTTP server sends before a request reaches its route.
std::string errorBody(int Status) {
  if (Status == 413)
    return renderRefusal({core::ErrorKind::TooLarge, "the body has more than 8 MB; split the job"})
        .Body;
  if (Status == 411)
    return renderRefusal({core::ErrorKind::Malformed,
                          "the body has no stated length or is compressed; send it plain with "
                          "Content-Length"})
        .Body;
  if (Status == 404)
    return renderRefusal({core::ErrorKind::NotFound, "no such path; see docs/API.md"}).Body;
  return renderRefusal({core::ErrorKind::Malformed, "the request is invalid; see docs/API.md"})
      .Body;
}

} // namespace

Daemon::Daemon(DaemonSettings Settings)
    : Settings_(std::move(Settings)), Incarnation_{drawRandom()}, Names_(Settings_.EntryVm),
      Kernel_(Incarnation_, kernel::makePolicyScheduler(drawRandom()), Metrics_),
      Requests_(Kernel_), Endpoints_(Names_, Kernel_, CurrentConfiguration_, Metrics_),
      Router_(Kernel_, Requests_, Endpoints_, Names_, Metrics_),
      CallerApi_(Settings_.EntryVm, Requests_, CurrentConfiguration_, Settings_.TeamKeys, Metrics_),
      Http_(serverLimits(Settings_), {Settings_.TlsCertificate, Settings_.TlsKey}) {
  addRoutes();
}

Daemon::~Daemon() { stop(); }

void Daemon::setPeers(PeerNetwork &Peers) {
  Peers_ = &Peers;
  CallerApi_.setPeers(&Peers);
}

bool Daemon::start() {
  Started_ = true;
  Kernel_.start(Router_);
  if (!Settings_.ConfigurationFile.empty() && !loadConfigurationFile())
    return false;
  for (auto &Next : Components_)
    if (!Next->start())
      return false;
  if (!Http_.start(Settings_.HttpAddress, Settings_.HttpPort))
    return false;
  core::logLine(core::LogLevel::Information, "daemon", "serving",
                {{"vm", Settings_.EntryVm}, {"port", std::to_string(Http_.port())}});
  return true;
}

void Daemon::stop() {
  if (!std::exchange(Started_, false))
    return;
  Stopping_.store(true);
  core::logLine(core::LogLevel::Information, "daemon", "planned stop begins");
  Http_.beginClosing();
  Kernel_.post(kernel::StopRequested{});
  for (auto &Next : Components_)
    Next->beginStop();
  awaitDrained();
  Http_.stop();
  for (auto Next = Components_.rbegin(); Next != Components_.rend(); ++Next)
    (*Next)->stop();
  Endpoints_.stop();
  Kernel_.stop();
  core::logLine(core::LogLevel::Information, "daemon", "stopped");
}

void Daemon::applyConfiguration(const std::shared_ptr<const kernel::KernelConfiguration> &Next) {
  // Endpoints are updated first: the kernel may start tasks as soon as it has the event.
  Endpoints_.applyConfiguration(*Next);
  CurrentConfiguration_.set(Next);
  Kernel_.post(kernel::ConfigurationApplied{Next});
  if (Peers_ == nullptr)
    grantAllSlots(*Next);
  core::logLine(core::LogLevel::Information, "daemon", "configuration in force",
                {{"version", std::to_string(Next->Version)}});
}

void Daemon::addRoutes() {
  CallerApi_.addRoutes(Http_);
  Http_.route("GET", "/metrics", [this](const auto &, auto &Response) {
    Response.set_content(Metrics_.renderText(), "text/plain; version=0.0.4");
  });
  Http_.route("GET", "/ready", [this](const auto &, auto &Response) {
    Response.status = isReady() ? 200 : 503;
    const char *State = isStopping() ? "stopping" : isReady() ? "ready" : "no configuration";
    Response.set_content(std::string(R"({"state":")") + State + "\"}", "application/json");
  });
  Http_.setErrorBody(errorBody);
  Metrics_.gauge("cornellift_waiting_requests",
                 [this] { return static_cast<double>(Requests_.size()); });
}

bool Daemon::loadConfigurationFile() {
  std::ifstream File(Settings_.ConfigurationFile);
  std::string Text{std::istreambuf_iterator<char>(File), std::istreambuf_iterator<char>()};
  if (!File.is_open())
    return core::failFalse(core::ErrorKind::NotFound, "--configuration-file: cannot read " +
                                                          Settings_.ConfigurationFile +
                                                          "; give a readable file");
  auto Document = configuration::Document::parse(Text);
  if (!Document)
    return core::failFalse(core::lastReason().Kind,
                           Settings_.ConfigurationFile + ": " + core::lastReason().Message);
  auto Converted = Document->toKernelConfiguration(1);
  configuration::addDelegates(Converted);
  applyConfiguration(std::make_shared<const kernel::KernelConfiguration>(std::move(Converted)));
  return true;
}

void Daemon::grantAllSlots(const kernel::KernelConfiguration &Configuration) {
  for (std::size_t Number = 0; Number < Configuration.Endpoints.size(); ++Number) {
    const auto &Endpoint = Configuration.Endpoints[Number];
    bool IsLocal =
        Endpoint.DataCentre == Settings_.DataCentre && !Endpoint.Removed && !Endpoint.Remote;
    Kernel_.post(kernel::SlotsChanged{kernel::EndpointIndex(static_cast<std::uint32_t>(Number)),
                                      IsLocal ? Endpoint.Slots : 0});
  }
}

void Daemon::awaitDrained() {
  auto Deadline = core::MonotonicClock::now() + Settings_.StopTimeout;
  auto OverdueAt = Deadline - std::min(MaximumWindDown, Settings_.StopTimeout / WindDownDivisor);
  bool Overdue = false;
  auto IsDrained = [this] {
    return Router_.isDrained() && std::all_of(Components_.begin(), Components_.end(),
                                              [](const auto &Next) { return Next->isDrained(); });
  };
  while (!IsDrained() && core::MonotonicClock::now() < Deadline) {
    if (!Overdue && core::MonotonicClock::now() >= OverdueAt) {
      Overdue = true;
      core::logLine(core::LogLevel::Warning, "daemon",
                    "jobs are left near the end of the stop time; starting nothing more");
      Kernel_.post(kernel::StopOverdue{});
    }
    std::this_thread::sleep_for(DrainCheckInterval);
  }
}

} // namespace cornellift::entry
