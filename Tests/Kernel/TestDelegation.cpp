#include "DispatcherFixture.h"

#include "Kernel/Delegation/DelegatedTable.h"

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace cornellift::kernel;

namespace {

constexpr Incarnation Peer{0xB0B};

TaskId taskOf(std::uint64_t Sequence) { return {{Peer, Sequence}, 0}; }

RequestId delegate(DispatcherFixture &Test, TaskId Task, std::uint32_t Attempt = 0) {
  auto Request = Test.newRequest();
  StartDelegated Call{Request, Task, {}, {}, {}, {}, DispatcherFixture::spec(1).Payload, 1};
  Call.Attempt = Attempt;
  Test.handle(std::move(Call));
  return Request;
}

RequestId queryTask(DispatcherFixture &Test, TaskId Task, AskDelegated::Operation Purpose) {
  auto Request = Test.newRequest();
  Test.handle(AskDelegated{Request, Task, Purpose});
  return Request;
}

/// Returns the reply's content, or an empty optional when it is of another type.
template <typename T> std::optional<T> reply(DispatcherFixture &Test, RequestId Request) {
  auto Answer = Test.response(Request);
  const auto *Reply = Answer ? std::get_if<DelegatedReply>(Answer.get()) : nullptr;
  const auto *Wanted = Reply ? std::get_if<T>(&Reply->Content) : nullptr;
  return Wanted ? std::optional(*Wanted) : std::nullopt;
}

} // namespace

// Guards against a second start of a delegated task whose request or reply was lost.
BOOST_AUTO_TEST_CASE(RepeatedDelegationAttaches) {
  DispatcherFixture Test;
  auto First = delegate(Test, taskOf(1));
  auto Second = delegate(Test, taskOf(1));
  auto Started = Test.take<StartTask>();
  BOOST_REQUIRE(Started.size() == 1);
  auto Running =
      reply<TaskReported>(Test, queryTask(Test, taskOf(1), AskDelegated::Operation::Fence));
  BOOST_REQUIRE(Running);
  BOOST_TEST((Running->Report == TaskReport::Running));
  Test.finish(Started[0]);
  BOOST_TEST(reply<TaskEnded>(Test, First).has_value());
  BOOST_TEST(reply<TaskEnded>(Test, Second).has_value());
  BOOST_TEST(reply<TaskEnded>(Test, delegate(Test, taskOf(1))).has_value());
  BOOST_TEST(
      reply<TaskEnded>(Test, queryTask(Test, taskOf(1), AskDelegated::Operation::Ask)).has_value());
  BOOST_TEST(Test.take<StartTask>().empty());
}

// Guards against a start of a task whose issuer got the reply that it will not start.
BOOST_AUTO_TEST_CASE(RefusedOrFencedDelegationNeverStarts) {
  DispatcherFixture Test;
  for (std::uint64_t Sequence : {1, 2, 3, 4})
    delegate(Test, taskOf(Sequence));
  auto Started = Test.take<StartTask>();
  BOOST_REQUIRE(Started.size() == 4);
  auto Full = reply<StartRefused>(Test, delegate(Test, taskOf(5)));
  BOOST_REQUIRE(Full);
  BOOST_TEST((Full->Cause == StartRefusal::NoSlot));
  auto Fenced =
      reply<TaskReported>(Test, queryTask(Test, taskOf(6), AskDelegated::Operation::Fence));
  BOOST_REQUIRE(Fenced);
  BOOST_TEST((Fenced->Report == TaskReport::NotStartedAndFenced));
  for (const auto &Each : Started)
    Test.finish(Each);
  BOOST_TEST(reply<StartRefused>(Test, delegate(Test, taskOf(5))).has_value());
  BOOST_TEST(reply<StartRefused>(Test, delegate(Test, taskOf(6))).has_value());
  // Own jobs start through the job only.
  BOOST_TEST(reply<StartRefused>(Test, delegate(Test, {Test.newId(), 0})).has_value());
  BOOST_TEST(Test.take<StartTask>().empty());
}

// Guards against reports on delegated tasks whose records were evicted to bound the memory.
BOOST_AUTO_TEST_CASE(EvictedDelegationIsUnknown) {
  DispatcherFixture Test;
  delegate(Test, taskOf(7));
  Test.finish(Test.take<StartTask>().at(0));
  Test.tickAfter(DelegatedTable::Retention + std::chrono::seconds(1));
  for (std::uint64_t Sequence : {3, 7}) {
    auto Reported = reply<TaskReported>(
        Test, queryTask(Test, taskOf(Sequence), AskDelegated::Operation::Fence));
    BOOST_REQUIRE(Reported);
    BOOST_TEST((Reported->Report == TaskReport::Unknown));
    BOOST_TEST(reply<StartRefused>(Test, delegate(Test, taskOf(Sequence))).has_value());
  }
  BOOST_TEST(Test.take<StartTask>().empty());
  delegate(Test, taskOf(8));
  BOOST_TEST(Test.take<StartTask>().size() == 1);
}

// Guards against a refusal for lack of a slot that also applies to later attempts, so that tasks
// wait for minutes although slots are idle, and against a start of a late copy of the refused
// attempt.
BOOST_AUTO_TEST_CASE(LaterAttemptStartsAfterANoSlotRefusal) {
  DispatcherFixture Test;
  for (std::uint64_t Sequence : {1, 2, 3, 4})
    delegate(Test, taskOf(Sequence), 1);
  auto Started = Test.take<StartTask>();
  BOOST_REQUIRE(Started.size() == 4);
  auto Refused = reply<StartRefused>(Test, delegate(Test, taskOf(5), 2));
  BOOST_REQUIRE(Refused);
  BOOST_TEST((Refused->Cause == StartRefusal::NoSlot));
  Test.finish(Started[0]);
  BOOST_TEST(reply<StartRefused>(Test, delegate(Test, taskOf(5), 2)).has_value());
  BOOST_TEST(Test.take<StartTask>().empty());
  auto Later = delegate(Test, taskOf(5), 3);
  auto Again = Test.take<StartTask>();
  BOOST_REQUIRE(Again.size() == 1);
  delegate(Test, taskOf(5), 2);
  BOOST_TEST(Test.take<StartTask>().empty());
  // After the time at which the record of the refusal would have been evicted.
  Test.tickAfter(DelegatedTable::Retention + std::chrono::seconds(1));
  BOOST_TEST(Test.take<StartTask>().empty());
  Test.finish(Again[0]);
  BOOST_TEST(reply<TaskEnded>(Test, Later).has_value());
  BOOST_TEST(reply<TaskEnded>(Test, delegate(Test, taskOf(5), 4)).has_value());
}

// Guards against tasks that no peer accepts any more after a status query, and against a second
// start: a fence applies to the queried attempt, whose start may still be in flight.
BOOST_AUTO_TEST_CASE(FenceAppliesToTheQueriedAttempt) {
  DispatcherFixture Test;
  auto Request = Test.newRequest();
  Test.handle(AskDelegated{Request, taskOf(1), AskDelegated::Operation::Fence, 4});
  auto Report = reply<TaskReported>(Test, Request);
  BOOST_REQUIRE(Report);
  BOOST_TEST((Report->Report == TaskReport::NotStartedAndFenced));
  BOOST_TEST(reply<StartRefused>(Test, delegate(Test, taskOf(1), 4)).has_value());
  BOOST_TEST(Test.take<StartTask>().empty());
  delegate(Test, taskOf(1), 5);
  BOOST_TEST(Test.take<StartTask>().size() == 1U);
}

// Guards against a second start: a peer of an earlier release does not send the attempt, so the
// reply to its query applies to all attempts.
BOOST_AUTO_TEST_CASE(StatusQueryMakesARefusalFinal) {
  for (auto Purpose : {AskDelegated::Operation::Ask, AskDelegated::Operation::Fence}) {
    DispatcherFixture Test;
    for (std::uint64_t Sequence : {1, 2, 3, 4})
      delegate(Test, taskOf(Sequence), 1);
    auto Started = Test.take<StartTask>();
    BOOST_REQUIRE(Started.size() == 4);
    delegate(Test, taskOf(5), 2);
    auto Report = reply<TaskReported>(Test, queryTask(Test, taskOf(5), Purpose));
    BOOST_REQUIRE(Report);
    BOOST_TEST((Report->Report == TaskReport::NotStartedAndFenced));
    Test.finish(Started[0]);
    BOOST_TEST(reply<StartRefused>(Test, delegate(Test, taskOf(5), 3)).has_value());
    BOOST_TEST(Test.take<StartTask>().empty());
  }
}
