#include "Kernel/Scheduling/PolicyScheduler.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;

namespace {

constexpr std::uint32_t SlotsPerEndpoint = 4;

/// A scheduler with a few equal endpoints, and its clock.
class Fixture {
public:
  explicit Fixture(std::uint32_t Endpoints, const std::vector<double> &Shares = {1}) : Policy(7) {
    auto Settings = std::make_shared<KernelConfiguration>();
    Settings->Services.push_back({"print", 1, {{"payslip", std::chrono::milliseconds(100), {}}}});
    for (double Share : Shares)
      Settings->Teams.push_back({"team", Share, 0});
    for (std::uint32_t Index = 0; Index < Endpoints; ++Index) {
      EndpointConfiguration Endpoint;
      Endpoint.DataCentre = "ikeja";
      Endpoint.Services = {ServiceIndex{0}};
      Endpoint.Capacity = {16, 64000, 0};
      Settings->Endpoints.push_back(Endpoint);
    }
    Policy.applyConfiguration(Settings, Now);
    for (std::uint32_t Index = 0; Index < Endpoints; ++Index)
      Policy.slotsChanged(EndpointIndex{Index}, SlotsPerEndpoint, Now);
  }

  static JobSpec spec(std::uint32_t Tasks, std::uint32_t Team = 0) {
    JobSpec Spec;
    Spec.Team = TeamIndex{Team};
    Spec.Tasks.resize(Tasks);
    return Spec;
  }

  std::optional<NotRun> submit(std::uint64_t Job, const JobSpec &Spec) {
    return Policy.admit({{1}, Job}, Spec, Now);
  }

  std::vector<Placement> startAll() {
    std::vector<Placement> Started;
    while (auto Next = Policy.next(Now))
      Started.push_back(*Next);
    return Started;
  }

  void end(const Placement &Started, TaskVerdict Verdict,
           core::Duration RunTime = std::chrono::milliseconds(100)) {
    Policy.taskEnded({Started.Task, Started.Endpoint, Verdict, nullptr, RunTime, {}, 0}, Now);
  }

  core::TimePoint Now{std::chrono::hours(1)};
  PolicyScheduler Policy;
};

} // namespace

// Guards against a worker that fails every task and attracts all of them because it is always free.
BOOST_AUTO_TEST_CASE(WorkerThatFailsEverythingIsEjected) {
  Fixture Fleet(10);
  std::uint32_t SentToBroken = 0;
  std::uint64_t Job = 0;
  for (int Round = 0; Round < 10; ++Round) {
    for (int Count = 0; Count < 40; ++Count)
      Fleet.submit(++Job, Fixture::spec(1));
    for (const auto &Started : Fleet.startAll()) {
      bool Broken = Started.Endpoint == EndpointIndex{3};
      SentToBroken += Broken ? 1 : 0;
      Fleet.end(Started, Broken ? TaskVerdict::Failed : TaskVerdict::Finished);
      Fleet.Policy.dropJob(Started.Task.Job, Fleet.Now);
    }
  }
  BOOST_TEST(Fleet.Policy.health().isEjected(EndpointIndex{3}));
  BOOST_TEST(SentToBroken <= SlotsPerEndpoint);
}

// Guards against a fault of a whole service that leads to the ejection of most of the fleet.
BOOST_AUTO_TEST_CASE(NoMoreThanAFifthIsEjected) {
  Fixture Fleet(10);
  std::uint64_t Job = 0;
  for (int Round = 0; Round < 10; ++Round) {
    for (int Count = 0; Count < 40; ++Count)
      Fleet.submit(++Job, Fixture::spec(1));
    for (const auto &Started : Fleet.startAll()) {
      bool Broken = static_cast<std::uint32_t>(Started.Endpoint) < 6;
      Fleet.end(Started, Broken ? TaskVerdict::Failed : TaskVerdict::Finished);
      Fleet.Policy.dropJob(Started.Task.Job, Fleet.Now);
    }
  }
  std::uint32_t Ejected = 0;
  for (std::uint32_t Index = 0; Index < 10; ++Index)
    Ejected += Fleet.Policy.health().isEjected(EndpointIndex{Index}) ? 1 : 0;
  BOOST_TEST(Ejected == 2U);
}

// Guards against jobs that fail on every worker and cause the ejection of healthy ones.
BOOST_AUTO_TEST_CASE(BadJobsDoNotEjectWorkers) {
  Fixture Fleet(5);
  for (std::uint64_t Job = 0; Job < 20; ++Job) {
    Fleet.submit(Job, Fixture::spec(20));
    for (const auto &Started : Fleet.startAll())
      Fleet.end(Started, TaskVerdict::Failed);
    Fleet.Policy.dropJob({{1}, Job}, Fleet.Now);
  }
  for (std::uint32_t Index = 0; Index < 5; ++Index)
    BOOST_TEST(!Fleet.Policy.health().isEjected(EndpointIndex{Index}));
}

// Guards against an ejected worker that is never readmitted, and against one that is readmitted at
// full load before it has proved to work.
BOOST_AUTO_TEST_CASE(EjectedWorkerReturnsOneTaskAtATime) {
  HealthTracker Health;
  KernelConfiguration Settings;
  Settings.Services.push_back({"print", 1, {{"payslip", {}, {}}}});
  for (int Index = 0; Index < 5; ++Index)
    Settings.Endpoints.push_back({});
  Health.configure(Settings);
  for (std::uint32_t Index = 0; Index < 5; ++Index)
    Health.setHeld(EndpointIndex{Index}, true);
  core::TimePoint Now{std::chrono::hours(1)};
  for (std::uint64_t Job = 0; Job < 3; ++Job)
    Health.failed(EndpointIndex{0}, {{1}, Job}, ServiceIndex{0}, KindIndex{0}, Now);
  BOOST_TEST(Health.taskLimit(EndpointIndex{0}) == 0U);
  BOOST_TEST(!Health.nextProbe(Now, 1));
  Now += std::chrono::seconds(6);
  BOOST_TEST((Health.nextProbe(Now, 1) == EndpointIndex{0}));
  Health.answered(EndpointIndex{0}, Now);
  BOOST_TEST(Health.taskLimit(EndpointIndex{0}) == 1U);
  for (int Task = 0; Task < 3; ++Task)
    Health.succeeded(EndpointIndex{0}, ServiceIndex{0}, KindIndex{0});
  BOOST_TEST(Health.taskLimit(EndpointIndex{0}) == 2U);
}

// Guards against idle slots while only one team has work, and against that team keeping them when a
// team below its quota gets work.
BOOST_AUTO_TEST_CASE(UnusedShareIsLentAndReclaimed) {
  Fixture Fleet(5, {1, 1});
  Fleet.submit(1, Fixture::spec(100, 0));
  auto Lent = Fleet.startAll();
  BOOST_TEST(Lent.size() == 20U);
  Fleet.submit(2, Fixture::spec(100, 1));
  Fleet.Now += std::chrono::milliseconds(100);
  for (std::size_t Index = 0; Index < 10; ++Index) {
    Fleet.end(Lent[Index], TaskVerdict::Finished);
    for (const auto &Started : Fleet.startAll())
      BOOST_TEST(Started.Task.Job.Sequence == 2U);
  }
}

// Guards against a large job that never starts because of small ones.
BOOST_AUTO_TEST_CASE(AgedLargeJobGoesBeforeNewSmallJob) {
  Fixture Fleet(1);
  Fleet.submit(1, Fixture::spec(4));
  auto First = Fleet.startAll();
  Fleet.submit(2, Fixture::spec(40));
  Fleet.Now += std::chrono::seconds(120);
  Fleet.submit(3, Fixture::spec(1));
  Fleet.end(First[0], TaskVerdict::Finished);
  auto Next = Fleet.startAll();
  BOOST_REQUIRE(Next.size() == 1U);
  BOOST_TEST(Next[0].Task.Job.Sequence == 2U);
}

// Guards against accepted jobs that can never run, and against a worker overcommitted by tasks that
// fit individually.
BOOST_AUTO_TEST_CASE(TasksFitTheirWorkers) {
  Fixture Fleet(1);
  auto TooLarge = Fixture::spec(1);
  TooLarge.Tasks[0].Declared = {1, 100000, 0};
  auto Refusal = Fleet.submit(1, TooLarge);
  BOOST_REQUIRE(Refusal);
  BOOST_TEST((Refusal->Kind == core::ErrorKind::Unsupported));
  auto Half = Fixture::spec(3);
  for (auto &Task : Half.Tasks)
    Task.Declared = {1, 32000, 0};
  BOOST_TEST(!Fleet.submit(2, Half));
  BOOST_TEST(Fleet.startAll().size() == 2U);
}

// Guards against a job that uses slots although it cannot meet its deadline, and against refused
// callers that all retry at the same time.
BOOST_AUTO_TEST_CASE(UnattainableDeadlineIsRefusedAtAdmission) {
  Fixture Fleet(1);
  Fleet.submit(1, Fixture::spec(1000));
  Fleet.startAll();
  auto Late = Fixture::spec(1000);
  Late.Deadline = Fleet.Now + std::chrono::seconds(1);
  auto First = Fleet.submit(2, Late);
  auto Second = Fleet.submit(3, Late);
  BOOST_REQUIRE((First && Second && First->RetryAt && Second->RetryAt));
  BOOST_TEST((First->Kind == core::ErrorKind::Overloaded));
  BOOST_TEST((*First->RetryAt > Fleet.Now));
  BOOST_TEST((*First->RetryAt != *Second->RetryAt));
}

// Guards against a flood of repeated starts when the whole fleet refuses them.
BOOST_AUTO_TEST_CASE(RefusedStartsStayWithinTheRetryBudget) {
  Fixture Fleet(10);
  Fleet.submit(1, Fixture::spec(40));
  std::uint32_t Starts = 0;
  auto End = Fleet.Now + std::chrono::seconds(10);
  for (; Fleet.Now < End; Fleet.Now += std::chrono::milliseconds(10))
    for (const auto &Started : Fleet.startAll()) {
      ++Starts;
      Fleet.Policy.startRefused(Started.Task, Started.Endpoint, StartRefusal::NoSlot, Fleet.Now);
    }
  // 40 first starts, 10 retries/s for 10 s, a tenth of all starts, and the size of the token
  // bucket.
  BOOST_TEST(Starts <= 40U + 100U + (Starts / 10) + 20U);
}

// Guards against placement on a worker that has reported that it is leaving.
BOOST_AUTO_TEST_CASE(LeavingWorkerGetsNoTasks) {
  Fixture Fleet(2);
  Fleet.submit(1, Fixture::spec(1));
  auto Started = Fleet.startAll();
  BOOST_REQUIRE(Started.size() == 1U);
  auto Left = Started[0].Endpoint;
  Fleet.Policy.startRefused(Started[0].Task, Left, StartRefusal::Leaving, Fleet.Now);
  Fleet.Policy.endpointObserved({Left, {}, EndpointObserved::Standing::Live, {}}, Fleet.Now);
  Fleet.submit(2, Fixture::spec(20));
  for (const auto &Next : Fleet.startAll())
    BOOST_TEST((Next.Endpoint != Left));
}

// Guards against a process that refuses every job as overloaded after its last slot was removed,
// with a retry time in the far future, because a rounding error remained in the sum of the speeds.
BOOST_AUTO_TEST_CASE(WithoutSlotsJobsWaitForThem) {
  Fixture Fleet(5);
  std::uint64_t Job = 0;
  // Learned speeds make the sums inexact.
  for (int Round = 0; Round < 20; ++Round) {
    Fleet.submit(++Job, Fixture::spec(7));
    for (const auto &Started : Fleet.startAll()) {
      auto RunTime = std::chrono::milliseconds(60 + 17 * static_cast<int>(Started.Endpoint));
      Fleet.Policy.taskEnded(
          {Started.Task, Started.Endpoint, TaskVerdict::Finished, nullptr, RunTime, {}, 0},
          Fleet.Now);
    }
  }
  for (std::uint32_t Index = 0; Index < 5; ++Index)
    Fleet.Policy.slotsChanged(EndpointIndex{Index}, 0, Fleet.Now);
  auto Waiting = ++Job;
  BOOST_TEST(!Fleet.submit(Waiting, Fixture::spec(3)));
  BOOST_TEST(!Fleet.submit(++Job, Fixture::spec(3)));
  auto End = Fleet.Policy.expectedEnd({{1}, Waiting}, Fleet.Now);
  BOOST_REQUIRE(End);
  BOOST_TEST((*End < Fleet.Now + std::chrono::minutes(1)));
}

namespace {

/// Number of status probes in the hour after the loss of the first Lost of ten endpoints: in the
/// first 6 s, and after 10 minutes.
std::pair<std::uint32_t, std::uint32_t> probesAfterLoss(std::uint32_t Lost) {
  constexpr double CostlyMessage = 40;
  HealthTracker Health;
  KernelConfiguration Settings;
  Settings.Endpoints.resize(10);
  Health.configure(Settings);
  core::TimePoint Start{std::chrono::hours(1)};
  for (std::uint32_t Index = 0; Index < 10; ++Index)
    Health.setHeld(EndpointIndex{Index}, true);
  for (std::uint32_t Index = 0; Index < Lost; ++Index)
    Health.unreachable(EndpointIndex{Index}, Start);
  std::uint32_t Early = 0;
  std::uint32_t Late = 0;
  for (auto Now = Start; Now < Start + std::chrono::hours(1); Now += std::chrono::milliseconds(100))
    while (Health.nextProbe(Now, CostlyMessage)) {
      Early += Now < Start + std::chrono::seconds(6) ? 1 : 0;
      Late += Now > Start + std::chrono::minutes(10) ? 1 : 0;
    }
  return {Early, Late};
}

} // namespace

// Guards against workers that stay idle after a switch recovers because probes are rare where
// messages are costly, and against frequent probes of workers that never return.
BOOST_AUTO_TEST_CASE(WorkersLostTogetherAreProbedSoonAndThenRarely) {
  constexpr std::uint32_t MostLate = 50 * 60 / 41 + 1; // Per worker, at one probe every 41 s.
  auto Together = probesAfterLoss(6);
  BOOST_TEST(Together.first >= 4U * 6);
  BOOST_TEST(Together.second <= MostLate * 6);
  auto Single = probesAfterLoss(1);
  BOOST_TEST(Single.first == 1U);
}

// Guards against tasks that wait although slots are free because the endpoints that were used most
// appear fast. The configured run time is five times too long.
BOOST_AUTO_TEST_CASE(EquallyFastEndpointsAreAllUsed) {
  Fixture Fleet(5);
  for (std::uint64_t Job = 1; Job <= 100; ++Job) {
    Fleet.submit(Job, Fixture::spec(1));
    auto Started = Fleet.startAll();
    Fleet.Now += std::chrono::milliseconds(20);
    Fleet.end(Started.at(0), TaskVerdict::Finished, std::chrono::milliseconds(20));
  }
  Fleet.submit(101, Fixture::spec(5 * SlotsPerEndpoint));
  BOOST_TEST(Fleet.startAll().size() == 5 * SlotsPerEndpoint);
}

// Guards against levels that end far below the work of large jobs, which would be served by arrival
// then, and against a comment that states another end.
BOOST_AUTO_TEST_CASE(LevelsTellJobsApartUpToTheStatedWork) {
  auto Ordering = OrderingRegistry::instance().create("fair-remaining", 0.1);
  BOOST_REQUIRE(Ordering);
  auto Level = [&](double Milliseconds) { return (*Ordering)->level({Milliseconds, {}}); };
  constexpr double StatedEnd = 35 * 60 * 1000;
  BOOST_TEST(Level(1) == 0U);
  BOOST_TEST(Level(StatedEnd * 0.99) < OrderingPolicy::Levels - 1);
  BOOST_TEST(Level(StatedEnd * 1.01) == OrderingPolicy::Levels - 1);
  BOOST_TEST(Level(1e12) == OrderingPolicy::Levels - 1);
}
