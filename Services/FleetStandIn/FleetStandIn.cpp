#include "Services/FleetStandIn/FleetStandIn.h"

#include "Libraries/LibCore/Reason.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace cornellift::standin {
namespace {

constexpr core::Duration TickInterval = std::chrono::milliseconds(5);
constexpr core::Duration HeartbeatInterval = std::chrono::milliseconds(1500);
constexpr core::Duration RecheckInterval = std::chrono::milliseconds(2);
constexpr double MemoryPerCore = 4096;
constexpr std::uint32_t Slots = 8;

std::string parameter(std::string_view Target, std::string_view Name) {
  auto Wanted = std::string(Name) + "=";
  auto Position = Target.find(Wanted);
  if (Position == std::string_view::npos)
    return {};
  auto Rest = Target.substr(Position + Wanted.size());
  return std::string(Rest.substr(0, Rest.find('&')));
}

double numberOr(std::string_view Target, std::string_view Name, double Default) {
  auto Text = parameter(Target, Name);
  return Text.empty() ? Default : std::strtod(Text.c_str(), nullptr);
}

std::string_view runEndName(const ModelRun &Run) {
  if (!Run.EndedAt)
    return "running";
  switch (Run.How) {
  case kernel::RunEnd::Done:
    return "done";
  case kernel::RunEnd::Failed:
    return "failed";
  case kernel::RunEnd::Stopped:
    return "stopped";
  case kernel::RunEnd::Lapsed:
    return "lapsed";
  case kernel::RunEnd::Broken:
    return "broken";
  }
  return "unknown";
}

} // namespace

std::unique_ptr<FleetStandIn> FleetStandIn::make(const StandInSettings &Settings) {
  auto StandIn = std::make_unique<FleetStandIn>(Settings);
  auto Format = StandInFormatRegistry::instance().create("kv");
  if (!Format)
    return nullptr;
  StandIn->Format_ = std::move(*Format);
  if (!StandIn->listen())
    return nullptr;
  return StandIn;
}

FleetStandIn::FleetStandIn(const StandInSettings &Settings)
    : Settings_(Settings), Timer_(Reactor_) {}

bool FleetStandIn::listen() {
  auto Local = [](std::uint16_t Port) {
    return reactor::Tcp::endpoint(reactor::asio::ip::address_v4::loopback(), Port);
  };
  StoreServer_ = reactor::HttpServer::listen(Reactor_, Local(Settings_.StorePort),
                                             [this](const Exchange &Call) { serveStore(Call); });
  ControlServer_ = reactor::HttpServer::listen(
      Reactor_, Local(Settings_.ControlPort), [this](const Exchange &Call) { serveControl(Call); });
  if (!StoreServer_ || !ControlServer_)
    return false;
  reactor::HttpServerLimits Limits;
  Limits.BodyBytes = 4U << 20;
  Limits.IdleTime = std::chrono::minutes(10);
  StoreServer_->setLimits(Limits);
  ControlServer_->setLimits(Limits);
  std::size_t Number = 0;
  for (const auto &DataCentre : Settings_.DataCentres)
    for (std::uint32_t Each = 0; Each < Settings_.WorkersPerDataCentre; ++Each)
      if (!addWorker(DataCentre, Number++))
        return false;
  if (Settings_.ConfigurationFile.empty())
    return true;
  std::ifstream File(Settings_.ConfigurationFile);
  std::string Document((std::istreambuf_iterator<char>(File)), std::istreambuf_iterator<char>());
  if (Document.empty())
    return core::failFalse(core::ErrorKind::NotFound, "--configuration-file: cannot read \"" +
                                                          Settings_.ConfigurationFile +
                                                          "\"; give its right path");
  Store_.apply({{}, {{Format_->configurationKey(), Document, 0}}, {}}, core::MonotonicClock::now());
  return true;
}

bool FleetStandIn::addWorker(const std::string &DataCentre, std::size_t Number) {
  auto Now = core::MonotonicClock::now();
  kernel::WorkerEntry Entry;
  Entry.Id = "w-" + std::to_string(Number);
  Entry.DataCentre = DataCentre;
  Entry.Service = Settings_.Service;
  Entry.Capacity = {Settings_.Cores, Settings_.Cores * MemoryPerCore, 0};
  Entry.Slots = Slots;
  Entry.Labels = {"r-" + std::to_string(Number / 6)};
  double Speed = Settings_.Speeds.empty() ? 1 : Settings_.Speeds[Number % Settings_.Speeds.size()];
  auto Port = Settings_.FirstWorkerPort == 0
                  ? 0
                  : static_cast<std::uint16_t>(Settings_.FirstWorkerPort + Number);
  WorkerInstance Instance;
  Instance.Server = reactor::HttpServer::listen(
      Reactor_,
      reactor::Tcp::endpoint(reactor::asio::ip::address_v4::loopback(),
                             static_cast<unsigned short>(Port)),
      [this, Number](const Exchange &Call) { serveWorker(Number, Call); });
  if (!Instance.Server)
    return false;
  reactor::HttpServerLimits Limits;
  Limits.IdleTime = std::chrono::minutes(10);
  Instance.Server->setLimits(Limits);
  Entry.Address = reactor::formatAddress(Instance.Server->address());
  Instance.Model = std::make_unique<WorkerModel>(Entry, Speed, Now);
  Workers_.push_back(std::move(Instance));
  return true;
}

void FleetStandIn::run() {
  std::cout << "store " << reactor::formatAddress(StoreServer_->address()) << " control "
            << reactor::formatAddress(ControlServer_->address()) << std::endl;
  tick();
  Reactor_.run();
}

double FleetStandIn::drawUniform() { return std::uniform_real_distribution<double>(0, 1)(Random_); }

void FleetStandIn::runAfter(core::Duration Delay, std::function<void()> Action) {
  auto Timer = std::make_shared<reactor::asio::steady_timer>(Reactor_);
  Timer->expires_after(Delay);
  Timer->async_wait([Timer, Action = std::move(Action)](boost::system::error_code) { Action(); });
}

void FleetStandIn::tick() {
  auto Now = core::MonotonicClock::now();
  Store_.advance(Now);
  for (auto &Instance : Workers_)
    Instance.Model->advance(Now);
  if (Now >= HeartbeatAt_) {
    HeartbeatAt_ = Now + HeartbeatInterval;
    for (auto &Instance : Workers_)
      if (!Instance.IsSilent && !Instance.IsDark)
        Store_.apply({{},
                      {{Format_->entryKey(Instance.Model->entry()),
                        Format_->renderEntry(Instance.Model->entry(), ++Instance.Sequence), 0}},
                      {}},
                     Now);
  }
  Timer_.expires_after(TickInterval);
  Timer_.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      tick();
  });
}

void FleetStandIn::serveStore(const Exchange &Call) {
  if (StoreFaults_.Now == StoreFaults::Mode::Silent)
    return runAfter(std::chrono::seconds(60), [Call] { Call->reply({503, {}, {}}); });
  if (StoreFaults_.Now == StoreFaults::Mode::Busy)
    return Call->reply({503, {}, {}});
  auto Content = Format_->parseStoreCall(*Call);
  if (!Content)
    return Call->reply({400, {}, {}});
  if (StoreFaults_.Delay.count() > 0)
    return runAfter(StoreFaults_.Delay, [this, Call, Content] { answerStore(Call, *Content); });
  answerStore(Call, *Content);
}

void FleetStandIn::answerStore(const Exchange &Call, const StoreCall &Content) {
  auto Now = core::MonotonicClock::now();
  if (const auto *Range = std::get_if<RangeCall>(&Content))
    return Call->reply(Format_->renderPage(Store_.range(Range->Prefix, Range->AfterKey)));
  if (const auto *Watch = std::get_if<WatchCall>(&Content))
    return answerWatch(Call, *Watch, Now + std::chrono::milliseconds(Watch->WaitMilliseconds));
  if (const auto *Change = std::get_if<StoreChange>(&Content)) {
    auto Verdict = Store_.apply(*Change, Now);
    if (drawUniform() < StoreFaults_.LostReplyShare)
      return runAfter(std::chrono::seconds(60), [Call] { Call->reply({503, {}, {}}); });
    return Call->reply(Format_->renderChange(Verdict, Store_.revision()));
  }
  if (const auto *Lease = std::get_if<OpenLeaseCall>(&Content)) {
    auto Number = Store_.grantLease(std::chrono::milliseconds(Lease->Milliseconds), Now);
    return Call->reply(Format_->renderLease(Number, Lease->Milliseconds));
  }
  if (const auto *Renewal = std::get_if<RenewLeaseCall>(&Content))
    return Call->reply(Store_.renewLease(Renewal->Lease, Now) ? reactor::HttpReply{200, "{}", {}}
                                                              : reactor::HttpReply{404, {}, {}});
  const auto &Ended = std::get<EndLeaseCall>(Content);
  Call->reply(Store_.revokeLease(Ended.Lease, Now) ? reactor::HttpReply{200, "{}", {}}
                                                   : reactor::HttpReply{404, {}, {}});
}

void FleetStandIn::answerWatch(const Exchange &Call, const WatchCall &Content,
                               core::TimePoint Deadline) {
  auto Events = Store_.eventsAfter(Content.Prefix, Content.AfterRevision);
  if (!Events)
    return Call->reply(Format_->renderExpired());
  bool IsDue = !Events->Events.empty() || core::MonotonicClock::now() >= Deadline;
  if (IsDue && StoreFaults_.Now == StoreFaults::Mode::Serving)
    return Call->reply(Format_->renderEvents(*Events));
  runAfter(RecheckInterval,
           [this, Call, Content, Deadline] { answerWatch(Call, Content, Deadline); });
}

void FleetStandIn::serveWorker(std::size_t Worker, const Exchange &Call) {
  auto &Instance = Workers_[Worker];
  auto Content = Format_->parseWorkerCall(*Call);
  auto Now = core::MonotonicClock::now();
  bool IsPoll = Content && std::holds_alternative<kernel::PollCommand>(*Content);
  if (Instance.IsSilent || Instance.IsDark || (IsPoll && Now < Instance.PollsSilentUntil))
    return leaveUnanswered(Call);
  if (!Content)
    return Call->reply({400, {}, {}});
  bool IsLate = drawUniform() < Instance.LateShare;
  if (const auto *Poll = std::get_if<kernel::PollCommand>(&*Content))
    return answerPoll(Worker, Call, *Poll, Now + std::chrono::milliseconds(Poll->WaitMilliseconds));
  auto Execute = [this, Worker, Content]() -> kernel::CommandReply {
    auto ExecutedAt = core::MonotonicClock::now();
    if (const auto *Start = std::get_if<kernel::StartCommand>(&*Content))
      return Workers_[Worker].Model->start(*Start, ExecutedAt);
    return Workers_[Worker].Model->stop(std::get<kernel::StopCommand>(*Content), ExecutedAt);
  };
  if (!IsLate)
    return Call->reply(Format_->renderCommandReply(Execute()));
  // The command is executed 2 to 6 seconds later, by whichever incarnation is up, and gets no
  // reply.
  runAfter(std::chrono::milliseconds(2000 + Random_() % 4000), [this, Worker, Call, Execute] {
    if (!Workers_[Worker].IsDark)
      Execute();
  });
}

void FleetStandIn::leaveUnanswered(const Exchange &Call) {
  runAfter(std::chrono::seconds(30), [Call] { Call->reply({503, {}, {}}); });
}

void FleetStandIn::answerPoll(std::size_t Worker, const Exchange &Call,
                              const kernel::PollCommand &Command, core::TimePoint Deadline) {
  if (Workers_[Worker].IsDark)
    return leaveUnanswered(Call);
  auto &Model = *Workers_[Worker].Model;
  auto Now = core::MonotonicClock::now();
  auto Reply = Model.poll(Command, Now);
  bool IsDue = Now >= Deadline || Reply.Verdict != kernel::CommandVerdict::Accepted ||
               Model.hasEndAfter(Command.LastSeen);
  if (IsDue)
    return Call->reply(Format_->renderPollReply(Reply));
  runAfter(RecheckInterval, [this, Worker, Call, Command, Deadline] {
    // The lease is extended only once, when the call arrives.
    auto Waiting = Command;
    Waiting.LeaseUntil.reset();
    answerPoll(Worker, Call, Waiting, Deadline);
  });
}

void FleetStandIn::serveControl(const Exchange &Call) {
  auto Target = Call->target();
  auto Now = core::MonotonicClock::now();
  if (Target == "/runs")
    return Call->reply({200, listRuns(), {}});
  if (Target == "/store/compact")
    Store_.compact();
  else if (Target.starts_with("/store/put"))
    Store_.apply({{}, {{std::string(parameter(Target, "key")), std::string(Call->body()), 0}}, {}},
                 Now);
  else if (Target.starts_with("/store/remove"))
    Store_.apply({{}, {}, {std::string(parameter(Target, "key"))}}, Now);
  else if (Target.starts_with("/store"))
    setStore(Target);
  else if (Target.starts_with("/worker"))
    setWorker(Target);
  else if (Target == "/configuration")
    Store_.apply({{}, {{Format_->configurationKey(), std::string(Call->body()), 0}}, {}}, Now);
  else
    return Call->reply({404, {}, {}});
  Call->reply({200, "{}", {}});
}

void FleetStandIn::setStore(std::string_view Target) {
  auto Mode = parameter(Target, "mode");
  if (!Mode.empty())
    StoreFaults_.Now = Mode == "silent" ? StoreFaults::Mode::Silent
                       : Mode == "busy" ? StoreFaults::Mode::Busy
                                        : StoreFaults::Mode::Serving;
  StoreFaults_.Delay = core::fromMilliseconds(
      numberOr(Target, "delay_ms", core::toMilliseconds(StoreFaults_.Delay)));
  StoreFaults_.LostReplyShare = numberOr(Target, "lost", StoreFaults_.LostReplyShare);
}

void FleetStandIn::setWorker(std::string_view Target) {
  auto Id = parameter(Target, "id");
  for (auto &Instance : Workers_) {
    if (Instance.Model->entry().Id != Id)
      continue;
    auto Now = core::MonotonicClock::now();
    if (Target.starts_with("/worker/restart"))
      return restartWorker(Instance, core::fromMilliseconds(numberOr(Target, "dark_ms", 0)),
                           core::fromMilliseconds(numberOr(Target, "silent_polls_ms", 0)));
    auto &Faults = Instance.Model->faults();
    Faults.Slowdown = numberOr(Target, "slowdown", Faults.Slowdown);
    Faults.FailsAll = numberOr(Target, "fail", Faults.FailsAll ? 1 : 0) != 0;
    Faults.IsStalled = numberOr(Target, "still", Faults.IsStalled ? 1 : 0) != 0;
    Faults.IsUnhealthy = numberOr(Target, "unhealthy", Faults.IsUnhealthy ? 1 : 0) != 0;
    Instance.IsSilent = numberOr(Target, "silent", Instance.IsSilent ? 1 : 0) != 0;
    Instance.LateShare = numberOr(Target, "late", Instance.LateShare);
    if (numberOr(Target, "drain", 0) != 0) {
      Instance.Model->entry().State = kernel::WorkerState::Draining;
      HeartbeatAt_ = Now;
    }
  }
}

void FleetStandIn::restartWorker(WorkerInstance &Instance, core::Duration DarkTime,
                                 core::Duration PollSilence) {
  auto Now = core::MonotonicClock::now();
  Instance.Model->restart(Now);
  if (DarkTime.count() > 0) {
    Instance.IsDark = true;
    return runAfter(DarkTime, [this, &Instance, PollSilence] {
      restartWorker(Instance, core::Duration(0), PollSilence);
    });
  }
  Instance.IsSilent = false;
  Instance.IsDark = false;
  Instance.PollsSilentUntil = Now + PollSilence;
  HeartbeatAt_ = Now;
}

std::string FleetStandIn::listRuns() const {
  std::ostringstream Out;
  for (const auto &Instance : Workers_)
    for (const auto &Run : Instance.Model->history()) {
      auto Ended = Run.EndedAt.value_or(core::TimePoint());
      Out << "{\"job\":\"" << kernel::formatJobKey(Run.Task.Job) << "\",\"step\":" << Run.Task.Step
          << ",\"index\":" << Run.Task.Index << ",\"run\":" << Run.Number << ",\"worker\":\""
          << Instance.Model->entry().Id << "\",\"incarnation\":" << Run.Incarnation
          << ",\"token\":" << Run.FencingToken
          << ",\"from_us\":" << Run.StartedAt.time_since_epoch().count()
          << ",\"to_us\":" << Ended.time_since_epoch().count() << ",\"end\":\"" << runEndName(Run)
          << "\"}\n";
    }
  return Out.str();
}

} // namespace cornellift::standin
