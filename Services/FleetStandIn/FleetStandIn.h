#pragma once

#include "Libraries/LibReactor/HttpServer.h"
#include "Services/FleetStandIn/StandInFormat.h"
#include "Services/FleetStandIn/StandInSettings.h"
#include "Services/FleetStandIn/StoreModel.h"
#include "Services/FleetStandIn/WorkerModel.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cornellift::standin {

/// Injected faults of the store.
struct StoreFaults {
  enum class Mode { Serving, Silent, Busy };
  Mode Now = Mode::Serving;
  core::Duration Delay{0};
  double LostReplyShare = 0; ///< Share of changes that are applied but get no reply.
};

/// The store and the workers of a test, each on its own port, and a control port for the test:
///
///     POST /store?mode=silent|busy|serving&delay_ms=N&lost=SHARE   and   POST /store/compact
///     POST /worker?id=ID&slowdown=X&fail=0|1&still=0|1&unhealthy=0|1&silent=0|1&late=SHARE&drain=1
///     POST /worker/restart?id=ID&dark_ms=N&silent_polls_ms=N
///     POST /configuration   with a configuration as the body
///     GET /runs             all runs, one JSON line each
///
/// At a restart a worker ends its runs. It is down for dark_ms, and polls of its next incarnation
/// stay unanswered for silent_polls_ms. A late command is executed by whichever incarnation is up
/// then, and dropped if none is.
class FleetStandIn {
public:
  static std::unique_ptr<FleetStandIn> make(const StandInSettings &Settings);

  explicit FleetStandIn(const StandInSettings &Settings);

  void run();

private:
  struct WorkerInstance {
    std::unique_ptr<WorkerModel> Model;
    std::shared_ptr<reactor::HttpServer> Server;
    bool IsSilent = false;
    bool IsDark = false;              ///< Between two incarnations: executes and answers nothing.
    core::TimePoint PollsSilentUntil; ///< Until then only other calls are answered.
    double LateShare = 0;
    std::uint64_t Sequence = 0;
  };

  using Exchange = std::shared_ptr<reactor::HttpExchange>;

  bool listen();
  bool addWorker(const std::string &DataCentre, std::size_t Number);
  void serveStore(const Exchange &Call);
  void answerStore(const Exchange &Call, const StoreCall &Content);
  void answerWatch(const Exchange &Call, const WatchCall &Content, core::TimePoint Deadline);
  void serveWorker(std::size_t Worker, const Exchange &Call);
  void answerPoll(std::size_t Worker, const Exchange &Call, const kernel::PollCommand &Command,
                  core::TimePoint Deadline);
  void leaveUnanswered(const Exchange &Call);
  void serveControl(const Exchange &Call);
  void setWorker(std::string_view Target);
  /// Restarts after DarkTime; the runs end at once.
  void restartWorker(WorkerInstance &Instance, core::Duration DarkTime, core::Duration PollSilence);
  void setStore(std::string_view Target);
  std::string listRuns() const;
  void tick();
  void runAfter(core::Duration Delay, std::function<void()> Action);
  double drawUniform();

  StandInSettings Settings_;
  reactor::asio::io_context Reactor_;
  reactor::asio::steady_timer Timer_;
  std::unique_ptr<StandInFormat> Format_;
  StoreModel Store_;
  StoreFaults StoreFaults_;
  std::shared_ptr<reactor::HttpServer> StoreServer_;
  std::shared_ptr<reactor::HttpServer> ControlServer_;
  std::vector<WorkerInstance> Workers_;
  core::TimePoint HeartbeatAt_;
  std::mt19937_64 Random_{1};
};

} // namespace cornellift::standin
