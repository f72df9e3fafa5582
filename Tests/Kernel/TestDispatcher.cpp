#include "DispatcherFixture.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;

// Guards against missing results and against results in order of arrival instead of task order.
BOOST_AUTO_TEST_CASE(CompleteHasAllResultsInTaskOrder) {
  DispatcherFixture Test;
  auto Request = Test.submit(Test.newId(), DispatcherFixture::spec(3));
  auto Started = Test.take<StartTask>();
  BOOST_REQUIRE(Started.size() == 3);
  for (std::size_t Index : {2, 0, 1}) {
    BOOST_TEST(!Test.response(Request));
    Test.finish(Started[Index]);
  }
  auto Whole = Test.outcome<Complete>(Request);
  BOOST_REQUIRE(Whole);
  for (std::size_t Index = 0; Index < 3; ++Index)
    BOOST_TEST(*Whole->Results[Index] == "result " + std::to_string(Index));
}

// Guards against a second run of a job whose caller repeats the submission.
BOOST_AUTO_TEST_CASE(RepeatedSubmissionAttaches) {
  DispatcherFixture Test;
  auto Job = Test.newId();
  auto First = Test.submit(Job, DispatcherFixture::spec(1));
  auto Second = Test.submit(Job, DispatcherFixture::spec(1));
  auto Other = Test.submit(Job, DispatcherFixture::spec(2));
  auto Conflict = Test.outcome<MayHaveRun>(Other);
  BOOST_REQUIRE(Conflict);
  BOOST_TEST((Conflict->Kind == core::ErrorKind::Conflict));
  auto Started = Test.take<StartTask>();
  BOOST_REQUIRE(Started.size() == 1);
  Test.finish(Started[0]);
  BOOST_TEST(Test.outcome<Complete>(First));
  BOOST_TEST(Test.outcome<Complete>(Second));
  auto Late = Test.submit(Job, DispatcherFixture::spec(1));
  BOOST_TEST(Test.outcome<Complete>(Late));
  Other = Test.submit(Job, DispatcherFixture::spec(2));
  BOOST_TEST(Test.outcome<MayHaveRun>(Other));
  BOOST_TEST(Test.take<StartTask>().empty());
}

// Guards against starting a job after its submission was refused as not run.
BOOST_AUTO_TEST_CASE(RefusedIdentifierIsNeverAccepted) {
  DispatcherFixture Test;
  auto Job = Test.newId();
  Test.Scheduler->AdmissionLimit = 0;
  auto Request = Test.submit(Job, DispatcherFixture::spec(1));
  auto Refused = Test.outcome<NotRun>(Request);
  BOOST_REQUIRE(Refused);
  BOOST_TEST(Refused->RetryAt.has_value());
  Test.Scheduler->AdmissionLimit.reset();
  BOOST_TEST(Test.outcome<NotRun>(Test.submit(Job, DispatcherFixture::spec(1))));
  BOOST_TEST(Test.take<StartTask>().empty());
}

// Guards against outcomes for identifiers that another process owns or that may be issued later.
BOOST_AUTO_TEST_CASE(ForeignIdentifiersGetNoOutcome) {
  DispatcherFixture Test;
  auto Job = Test.newId();
  for (JobId Foreign : {JobId{{0xB0B}, Job.Sequence}, JobId{Job.Issuer, Job.Sequence + 1000}}) {
    auto Answer = Test.response(Test.submit(Foreign, DispatcherFixture::spec(1)));
    BOOST_REQUIRE(Answer);
    BOOST_TEST(std::holds_alternative<WrongIssuer>(*Answer));
  }
  // Unused: a submission may still be in flight.
  BOOST_TEST(Test.outcome<MayHaveRun>(Test.askOutcome(Job)));
  Test.tickAfter(Test.Limits.IdentifierLifetime);
  BOOST_TEST(Test.outcome<NotRun>(Test.submit(Job, DispatcherFixture::spec(1))));
  // Long after the deadline the block is dropped, and with it the record of the refusal.
  Test.tickAfter(Test.Limits.IdentifierLifetime * 2);
  BOOST_TEST(Test.outcome<MayHaveRun>(Test.askOutcome(Job)));
}

// Guards against one team seeing or cancelling another team's jobs.
BOOST_AUTO_TEST_CASE(OtherTeamsCannotAccessAJob) {
  DispatcherFixture Test;
  auto Job = Test.newId();
  Test.submit(Job, DispatcherFixture::spec(1));
  auto Request = Test.newRequest();
  Test.handle(CancelJob{Request, Job, TeamIndex{1}});
  BOOST_TEST(Test.outcome<MayHaveRun>(Request));
  Test.finish(Test.take<StartTask>().at(0));
  Request = Test.newRequest();
  Test.handle(AskOutcome{Request, Job, std::nullopt, TeamIndex{1}});
  BOOST_TEST(Test.outcome<MayHaveRun>(Request));
}

// Guards against a double start: a refusal of an earlier attempt must not queue a running task
// again.
BOOST_AUTO_TEST_CASE(EventsOfEarlierAttemptsAreIgnored) {
  DispatcherFixture Test;
  auto Request = Test.submit(Test.newId(), DispatcherFixture::spec(1));
  auto First = Test.take<StartTask>().at(0);
  StartRefused Refusal{First.Task, First.Endpoint, StartRefusal::NoSlot, First.Attempt};
  Test.handle(Refusal);
  auto Second = Test.take<StartTask>().at(0);
  Refusal.Endpoint = Second.Endpoint;
  Test.handle(Refusal);
  Test.finish(First);
  BOOST_TEST(Test.take<StartTask>().empty());
  BOOST_TEST(Test.Kernel->counters().IgnoredEvents == 2);
  Test.finish(Second);
  Test.finish(Second);
  BOOST_TEST(Test.outcome<Complete>(Request));
  BOOST_TEST(Test.Kernel->counters().IgnoredEvents == 3);
}

// Guards against a retry of a task that may have started.
BOOST_AUTO_TEST_CASE(UncertainTaskIsFencedBeforeARetry) {
  DispatcherFixture Test;
  auto Request = Test.submit(Test.newId(), DispatcherFixture::spec(2));
  auto Started = Test.take<StartTask>();
  Test.handle(TaskUncertain{Started[0].Task, Started[0].Endpoint, Started[0].Attempt});
  BOOST_TEST(Test.take<FenceTask>().size() == 1);
  BOOST_TEST(Test.take<StartTask>().empty());
  Test.handle(TaskReported{Started[0].Task, Started[0].Endpoint, TaskReport::NotStartedAndFenced,
                           Started[0].Attempt});
  auto Again = Test.take<StartTask>();
  BOOST_REQUIRE(Again.size() == 1);
  Test.handle(TaskUncertain{Again[0].Task, Again[0].Endpoint, Again[0].Attempt});
  Test.handle(
      TaskReported{Again[0].Task, Again[0].Endpoint, TaskReport::Unknown, Again[0].Attempt});
  BOOST_TEST(!Test.response(Request));
  Test.finish(Started[1]);
  auto Lost = Test.outcome<MayHaveRun>(Request);
  BOOST_REQUIRE(Lost);
  BOOST_TEST((Lost->Tasks == std::vector{TaskOutcome::MayHaveRun, TaskOutcome::Finished}));
  BOOST_TEST(Test.take<StartTask>().empty());
}

// Guards against jobs that never end because a connection is silent: the task's status is queried
// at increasing intervals, and a fence that is never answered times out.
BOOST_AUTO_TEST_CASE(UnresponsiveTaskIsQueriedThenFenced) {
  DispatcherFixture Test;
  auto Request = Test.submit(Test.newId(), DispatcherFixture::spec(1));
  auto Started = Test.take<StartTask>().at(0);
  TaskReported Report{Started.Task, Started.Endpoint, TaskReport::Running, Started.Attempt};
  Test.tickAfter(RoundRobinScheduler::StatusQueryDelay - core::Duration(1));
  BOOST_TEST(Test.take<AskTask>().empty());
  Test.tickAfter(core::Duration(1));
  BOOST_TEST(Test.take<AskTask>().size() == 1);
  Test.handle(Report);
  Test.tickAfter(std::chrono::milliseconds(250));
  BOOST_TEST(Test.take<AskTask>().empty());
  Test.tickAfter(std::chrono::milliseconds(250));
  BOOST_TEST(Test.take<AskTask>().size() == 1);
  Report.Report = TaskReport::Unknown;
  Test.handle(Report);
  BOOST_TEST(Test.take<FenceTask>().size() == 1);
  Test.tickAfter(std::chrono::seconds(10));
  BOOST_TEST(Test.outcome<MayHaveRun>(Request));
}

// Guards against further work on a job that cannot complete.
BOOST_AUTO_TEST_CASE(FailedTaskFailsItsJob) {
  DispatcherFixture Test;
  auto Request = Test.submit(Test.newId(), DispatcherFixture::spec(6));
  auto Started = Test.take<StartTask>();
  BOOST_REQUIRE(Started.size() == 4);
  Test.fail(Started[0]);
  for (std::size_t Index : {1, 2, 3})
    Test.finish(Started[Index]);
  BOOST_TEST(Test.take<StartTask>().empty());
  auto Partial = Test.outcome<MayHaveRun>(Request);
  BOOST_REQUIRE(Partial);
  using enum TaskOutcome;
  BOOST_TEST((Partial->Tasks == std::vector{Failed, Finished, Finished, Finished, NotRun, NotRun}));
  BOOST_TEST(Partial->Reason.find("no memory") != std::string::npos);
}

// Guards against "not run" for a cancelled job that has a task in flight.
BOOST_AUTO_TEST_CASE(CancelledJobIsNotRunOnlyWhenNothingWasSent) {
  DispatcherFixture Test;
  auto Running = Test.newId();
  Test.submit(Running, DispatcherFixture::spec(5));
  auto Queued = Test.newId();
  auto Waiter = Test.submit(Queued, DispatcherFixture::spec(1));
  auto Request = Test.newRequest();
  Test.handle(CancelJob{Request, Queued});
  BOOST_TEST(Test.outcome<NotRun>(Request));
  BOOST_TEST(Test.outcome<NotRun>(Waiter));
  Request = Test.newRequest();
  Test.handle(CancelJob{Request, Running});
  auto Answer = Test.response(Request);
  BOOST_REQUIRE(Answer);
  BOOST_TEST(std::get<JobStatus>(*Answer).Running == 4);
  auto Started = Test.take<StartTask>();
  for (const auto &Each : Started)
    Test.finish(Each);
  auto Ended = Test.outcome<MayHaveRun>(Test.askOutcome(Running));
  BOOST_REQUIRE(Ended);
  BOOST_TEST((Ended->Tasks[4] == TaskOutcome::NotRun));
  // A cancellation that arrives before the submission.
  auto Coming = Test.newId();
  Test.handle(CancelJob{Test.newRequest(), Coming});
  BOOST_TEST(Test.outcome<NotRun>(Test.submit(Coming, DispatcherFixture::spec(1))));
  BOOST_TEST(Test.take<StartTask>().empty());
}

// Guards against jobs that stay queued past their deadline, and against repeated warnings.
BOOST_AUTO_TEST_CASE(DeadlineEndsAQueuedJob) {
  DispatcherFixture Test;
  Test.submit(Test.newId(), DispatcherFixture::spec(4));
  auto Spec = DispatcherFixture::spec(1);
  Spec.Deadline = Test.Now + std::chrono::seconds(1);
  Test.Scheduler->ExpectedEnd = Test.Now + std::chrono::seconds(2);
  auto Request = Test.submit(Test.newId(), Spec);
  Test.tickAfter(std::chrono::milliseconds(10));
  BOOST_TEST(Test.take<FlagLate>().size() == 1);
  Test.tickAfter(std::chrono::seconds(1));
  auto Ended = Test.outcome<NotRun>(Request);
  BOOST_REQUIRE(Ended);
  BOOST_TEST((Ended->Kind == core::ErrorKind::Timeout));
}

// Guards against outcomes that are dropped before their caller has seen them.
BOOST_AUTO_TEST_CASE(UnfetchedOutcomesRefuseNewJobs) {
  DispatcherFixture Test;
  Test.Limits.MaximumOutcomeBytes = 1000;
  Test.applyLimits();
  std::vector<JobId> Jobs;
  for (int Count = 0; Count < 3; ++Count) {
    Jobs.push_back(Test.newId());
    Test.handle(SubmitJob{Test.newRequest(), Jobs.back(), DispatcherFixture::spec(1), {}});
    Test.finish(Test.take<StartTask>().at(0));
  }
  auto Refused = Test.outcome<NotRun>(Test.submit(Test.newId(), DispatcherFixture::spec(1)));
  BOOST_REQUIRE(Refused);
  BOOST_TEST((Refused->Kind == core::ErrorKind::Overloaded));
  BOOST_TEST(Test.outcome<Complete>(Test.askOutcome(Jobs[0])));
  BOOST_TEST(Test.outcome<Complete>(Test.askOutcome(Jobs[1])));
  Test.tickAfter(std::chrono::milliseconds(10));
  // The oldest fetched outcome was evicted; the unfetched one is still kept.
  BOOST_TEST(Test.outcome<MayHaveRun>(Test.askOutcome(Jobs[0])));
  BOOST_TEST(Test.outcome<Complete>(Test.askOutcome(Jobs[2])));
  Test.submit(Test.newId(), DispatcherFixture::spec(1));
  BOOST_TEST(Test.take<StartTask>().size() == 1);
  Test.tickAfter(Test.Limits.OutcomeLifetime);
  BOOST_TEST(Test.outcome<MayHaveRun>(Test.askOutcome(Jobs[2])));
}

// Guards against requests that are answered late, twice, or after their caller is gone.
BOOST_AUTO_TEST_CASE(WaitingRequestsEndInTime) {
  DispatcherFixture Test;
  auto Job = Test.newId();
  auto Abandoned = Test.submit(Job, DispatcherFixture::spec(1));
  auto Waiting = Test.newRequest();
  Test.handle(AskOutcome{Waiting, Job, Test.Now + std::chrono::milliseconds(100)});
  Test.handle(RequestAbandoned{Abandoned});
  BOOST_TEST(!Test.response(Waiting));
  Test.tickAfter(std::chrono::milliseconds(100));
  auto Status = Test.response(Waiting);
  BOOST_REQUIRE(Status);
  BOOST_TEST(std::get<JobStatus>(*Status).Running == 1);
  Test.finish(Test.take<StartTask>().at(0));
  BOOST_TEST(Test.take<Respond>().empty());
}
