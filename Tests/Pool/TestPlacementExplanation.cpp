// Where a job would go, compared with where it goes.
#include "Tests/Pool/ManagerFixture.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;
using namespace std::chrono_literals;

namespace {

struct WhereFixture : test::ManagerFixture {
  WhereFixture() { Manager.setRemoteFactor(3); }

  void setWorkers(const std::vector<WorkerEntry> &Entries) {
    Manager.setWorkers(Entries, Now);
    answerPolls();
    answerPolls();
  }
  void answerPollOf(EndpointIndex Worker, const RunningTask &Running) {
    for (const auto &[Polled, Command] : std::exchange(Out.Polls, {})) {
      WorkerReport Report{workerClock(Now), Incarnation, {}, {}};
      if (Polled == Worker)
        Report.Running.push_back(Running);
      Manager.pollReplied(Polled, Command, {CommandVerdict::Accepted, Report}, Now);
    }
  }
  PlacementExplanation ask(std::uint32_t Tasks, double Milliseconds, core::Duration Timeout = 3s) {
    return Manager.explainPlacement(submission(JobKey{99}, Tasks, Milliseconds, Timeout), Now);
  }
  std::string lastStartedOn() const {
    return Out.Starts.empty() ? "" : Manager.fleet().at(Out.Starts.back().first).Entry.Id;
  }
};

std::size_t countOf(const StepExplanation &Step, Exclusion Why) {
  auto Found = Step.Excluded.find(Why);
  return Found == Step.Excluded.end() ? 0 : Found->second.Count;
}

} // namespace

// Guards against a worker that is named for another reason than that which keeps its tasks away,
// and against an answer that differs from the placement.
BOOST_FIXTURE_TEST_CASE(EachExcludedWorkerHasItsReason, WhereFixture) {
  std::vector<WorkerEntry> Entries;
  for (const char *Id : {"service", "label", "small", "drain", "notice", "evacuated", "full", "ok"})
    Entries.push_back(test::entry(Id));
  for (auto &Each : Entries)
    Each.Labels = {"fast"};
  Entries[0].Service = "other";
  Entries[1].Labels.clear();
  Entries[2].Capacity.Processors = 1;
  Entries[4].StaysUntil = Now + 5s;
  Entries[5].DataCentre = "yaba";
  Entries[6].Capacity = {64, 1000, 0}; // Its last room is taken last.
  RequiredLabel = "fast";
  Manager.setEvacuated({"yaba"}, Now);
  setWorkers(Entries);
  Entries[3].State = Entries[4].State = WorkerState::Draining;
  Entries[7].State = WorkerState::Draining;
  setWorkers(Entries);
  submit(4, 1000); // Fill the slots of the one that is still open.
  BOOST_REQUIRE(lastStartedOn() == "full");
  Entries[7].State = WorkerState::Ready;
  Entries.push_back(test::entry("unclaimed"));
  Entries.back().Labels = {"fast"};
  Manager.setWorkers(Entries, Now);

  auto Step = ask(1, 100).Steps.at(0);
  BOOST_TEST((Step.Outlook == TaskOutlook::Starts));
  BOOST_REQUIRE(Step.EligibleCount == 1);
  BOOST_TEST(Step.Eligible[0].Id == "ok");
  BOOST_TEST(Step.Places == 2);
  for (auto Why :
       {Exclusion::OtherService, Exclusion::MissingLabel, Exclusion::TooSmall, Exclusion::Draining,
        Exclusion::Notice, Exclusion::Evacuated, Exclusion::Full, Exclusion::NotHeld})
    BOOST_TEST(countOf(Step, Why) == 1, exclusionName(Why));
  submit(1, 100);
  BOOST_TEST(lastStartedOn() == "ok");
}

// Guards against an answer that names a worker away from the data for a task which then waits.
BOOST_FIXTURE_TEST_CASE(AWaitNearTheDataIsForeseen, WhereFixture) {
  auto Near = test::entry("near");
  Near.Labels = {"r1"};
  Near.Slots = 1;
  setWorkers({Near, test::entry("away")});
  DataRack = "r1";
  BOOST_TEST(ask(1, 100).Steps.at(0).Eligible.at(0).Id == "near");
  submit(1, 100);
  BOOST_REQUIRE(lastStartedOn() == "near");
  pass(80ms);
  answerPollOf(EndpointIndex{0}, {{static_cast<JobKey>(LastKey), 0, 0}, 1, 80});
  auto Step = ask(1, 100).Steps.at(0);
  BOOST_TEST((Step.Outlook == TaskOutlook::WaitsForData));
  BOOST_TEST(Step.Eligible.at(0).Id == "away");
  BOOST_REQUIRE(Step.Wait.has_value());
  BOOST_TEST(Step.Wait->Tasks == 1);
  BOOST_TEST(Step.Wait->RoomMilliseconds.value_or(0) < 40);
  BOOST_TEST(Step.Wait->NearEndMilliseconds < Step.Eligible[0].EndMilliseconds);
  auto Starts = Out.Starts.size();
  submit(1, 100);
  BOOST_TEST(Out.Starts.size() == Starts); // It waits.
}

// Guards against an answer that names workers for a job which is refused.
BOOST_FIXTURE_TEST_CASE(RefusalsAreForeseen, WhereFixture) {
  list({"w"});
  submit(2, 1000, 30s);
  auto Long = ask(1, 1500, 600ms); // Its caller does not wait as long as it runs.
  BOOST_TEST(admissionName(Long.Admission) == "no_time_in_queue");
  BOOST_TEST((Long.Steps.at(0).Outlook == TaskOutlook::WaitsForRoom));
  submit(1, 1500, 600ms);
  pass(10ms);
  std::size_t Refused = 1;
  BOOST_REQUIRE(Out.answers().size() == Refused);
  for (int Job = 0; Job < 12; ++Job) {
    auto Foreseen = ask(2, 1000, 30s).Admission;
    submit(2, 1000, 30s);
    Refused += Foreseen == AdmissionOutlook::NoTimeAtArrival ? 1 : 0;
    BOOST_TEST(Out.answers().size() == Refused);
  }
  BOOST_TEST((Refused > 1 && Refused < 13));
  auto Explained = ask(1, 900, 1s); // It has to start before the others.
  BOOST_TEST(Explained.WaitingJobs == 13 - Refused);
  BOOST_TEST(Explained.JobsAhead == 0);
  Manager.setEvacuated({"ikeja"}, Now);
  pass(2s);
  BOOST_TEST((ask(1, 100).Admission == AdmissionOutlook::Evacuated));
}

// Guards against a question that leaves a trace: an estimate for the kind of its job, a wanted
// rack, a count, a message or a job.
BOOST_FIXTURE_TEST_CASE(AskingChangesNothing, WhereFixture) {
  auto Near = test::entry("near");
  Near.Labels = {"r1"};
  setWorkers({Near});
  DataRack = "r1";
  auto First = ask(1, 100);
  auto Sent = Out.Sent.size();
  auto Polls = Out.Polls.size();
  for (int Round = 0; Round < 50; ++Round)
    ask(4, 900);
  auto Last = ask(1, 100);
  BOOST_TEST(Last.Steps.at(0).TypicalMilliseconds == First.Steps.at(0).TypicalMilliseconds);
  BOOST_TEST(Last.ObjectiveMilliseconds == First.ObjectiveMilliseconds);
  BOOST_TEST(Last.Steps[0].Eligible.at(0).EndMilliseconds ==
             First.Steps[0].Eligible.at(0).EndMilliseconds);
  BOOST_TEST(Out.Sent.size() == Sent);
  BOOST_TEST(Out.Polls.size() == Polls);
  BOOST_TEST(Out.Starts.empty());
  BOOST_TEST(Manager.jobCount() == 0);
  BOOST_TEST(Manager.counters().JobsReceived == 0);
  DataRack.clear();
  submit(1, 100); // With its dispatch, a wanted rack would be marked.
  BOOST_TEST(!ask(1, 100).Steps.at(0).Eligible.at(0).IsRackWanted);
}

// Guards against a list that grows with the fleet, and workers of others that are left out.
BOOST_FIXTURE_TEST_CASE(WorkersOfOthersAreListedWithinTheBound, WhereFixture) {
  PoolDirectory Directory{1, {}};
  PoolReport Report{1, {}, 0};
  for (std::uint32_t Number = 0; Number < 100; ++Number) {
    Directory.Workers.push_back(test::entry("far-" + std::to_string(Number)));
    Report.Changes.push_back({Number, {{4, 1000, 0}, Number < 60 ? 4U : 0U, 1}});
  }
  Directory.Workers.back().DataCentre = "yaba";
  Manager.setEvacuated({"yaba"}, Now);
  Manager.setManager(PeerIndex{3}, true, Now);
  Manager.receive(PeerIndex{3}, Directory, Now);
  Manager.receive(PeerIndex{3}, Report, Now);
  auto Step = ask(1, 100).Steps.at(0);
  BOOST_TEST((Step.Outlook == TaskOutlook::Delegated));
  BOOST_TEST(Step.EligibleCount == 60);
  BOOST_TEST(Step.Eligible.size() == MaximumEligibleListed);
  BOOST_TEST((Step.Eligible.at(0).Manager == PeerIndex{3}));
  BOOST_TEST(countOf(Step, Exclusion::Full) == 39);
  BOOST_TEST(countOf(Step, Exclusion::Evacuated) == 1);
  BOOST_TEST(Step.Excluded[Exclusion::Full].Examples.size() == MaximumExcludedExamples);
}
