#include "OwnershipProcess.h"
#include "OwnershipSimulation.h"

#include "Kernel/Jobs/Recovery.h"

namespace cornellift::kernel {
namespace {

std::string nameOf(JobId Job) { return formatJobId("vm", Job); }

} // namespace

std::string toString(const Step &Taken) {
  static constexpr const char *Names[] = {
      "Deliver",       "Duplicate", "Lose",        "CutConnection", "EndTask",
      "Advance",       "LongWait",  "OpenSession", "Submit",        "Resubmit",
      "SubmitOther",   "Ask",       "Cancel",      "Abandon",       "Kill",
      "Restart",       "Pause",     "Resume",      "NoticeDeath",   "RestartEndpoint",
      "ToggleLeaving", "Stop",      "RetrySeal",   "GiveUpSeal",    "Overdue"};
  return std::string(Names[static_cast<std::size_t>(Taken.Kind)]) + ' ' +
         std::to_string(Taken.First) + ' ' + std::to_string(Taken.Second);
}

RequestId OwnershipSimulation::newRequest(Incarnation At, Request Original) {
  RequestId Number{++LastRequest_};
  Requests_.emplace(std::pair(At, Number), std::move(Original));
  return Number;
}

void OwnershipSimulation::onResponse(const Process &From, const Respond &Answer) {
  auto Found = Requests_.find({From.Name, Answer.Request});
  if (Found == Requests_.end())
    throw InvariantViolation("a response without a request");
  auto &Original = Found->second;
  if (Original.CurrentState == Request::State::Answered)
    throw InvariantViolation("a second response to one request");
  if (Original.CurrentState == Request::State::Abandoned)
    throw InvariantViolation("a response to an abandoned request");
  Original.CurrentState = Request::State::Answered;
  if (const auto *Block = std::get_if<IdentifierBlock>(&Answer.Content)) {
    for (std::uint64_t Offset : {2, 1, 0})
      Unused_.push_back({Block->Issuer, Block->First + Offset});
  } else if (const auto *Ended = std::get_if<std::shared_ptr<const Outcome>>(&Answer.Content)) {
    if (Original.Operation != Request::Kind::Session)
      checkOutcome(Original, **Ended);
  } else if (std::holds_alternative<WrongIssuer>(Answer.Content)) {
    ++Seen["WrongIssuer"];
    forward(Original);
  } else if (const auto *Reply = std::get_if<DelegatedReply>(&Answer.Content)) {
    ++Seen["DelegatedReply"];
    answerCaller(*Original.Call, *Reply);
  } else if (const auto *Transfer = std::get_if<TransferReply>(&Answer.Content)) {
    ++Seen[*Transfer == TransferReply::Accepted ? "TransferAccepted" : "TransferRejected"];
    send(PeerReply{*Original.Call, *Transfer});
  }
}

void OwnershipSimulation::forward(const Request &Original) {
  if (Original.Hops > 0)
    return;
  auto Owner = Original.Job.Issuer;
  for (auto Next = Successors_.find(Owner); Next != Successors_.end();
       Next = Successors_.find(Owner))
    Owner = Next->second;
  auto *At = find(Owner);
  if (!At)
    return recover(Original);
  auto Copy = Original;
  Copy.CurrentState = Request::State::Open;
  Copy.Hops = 1;
  auto Operation = Copy.Operation;
  auto Job = Copy.Job;
  auto WaitUntil = At->now() + std::chrono::seconds(1);
  auto Number = newRequest(Owner, std::move(Copy));
  if (Operation == Request::Kind::Submit)
    send(Delivery{Owner, SubmitJob{Number, Job, specFor(Original.Tag, At->now()), WaitUntil}});
  else if (Operation == Request::Kind::Cancel)
    send(Delivery{Owner, CancelJob{Number, Job}});
  else
    send(Delivery{Owner, AskOutcome{Number, Job, WaitUntil}});
}

void OwnershipSimulation::recover(const Request &Original) {
  std::vector<EndpointRecords> Records;
  for (const auto &Each : Endpoints_) {
    EndpointRecords Own;
    for (const auto &[Task, Record] : Each.Records)
      if (Task.Job == Original.Job)
        Own.Tasks.push_back({Task.Index, Record.TaskCount, Record.recorded(),
                             std::make_shared<const std::string>(Record.Result)});
    Records.push_back(std::move(Own));
  }
  ++Seen["Recovered"];
  auto Recovered = recoverOutcome(Records, 100);
  // The records do not show which specification was accepted, so a submission gets no results from
  // them.
  if (Original.Operation == Request::Kind::Submit && std::holds_alternative<Complete>(Recovered))
    Recovered = MayHaveRun{core::ErrorKind::Unavailable, "ask for the outcome", {}};
  checkOutcome(Original, Recovered);
}

void OwnershipSimulation::checkOutcome(const Request &Original, const Outcome &Reported) {
  if (const auto *Whole = std::get_if<Complete>(&Reported)) {
    ++Seen["Complete"];
    checkComplete(Original, *Whole);
  } else if (const auto *Partial = std::get_if<MayHaveRun>(&Reported)) {
    ++Seen["MayHaveRun " + std::string(core::toString(Partial->Kind))];
    checkTasks(Original.Job, *Partial);
  } else {
    ++Seen["NotRun " + std::string(core::toString(std::get<NotRun>(Reported).Kind))];
    checkNotRun(Original.Job);
  }
}

void OwnershipSimulation::checkComplete(const Request &Original, const Complete &Reported) {
  std::vector<std::string> Texts;
  for (const auto &Result : Reported.Results)
    Texts.push_back(Result ? *Result : std::string("no result"));
  auto [Earlier, First] = ReportedResults_.emplace(Original.Job, Texts);
  if (!First && Earlier->second != Texts)
    throw InvariantViolation("two complete responses differ for " + nameOf(Original.Job));
  if (Original.Operation == Request::Kind::Submit && Texts != resultsFor(Original.Tag))
    throw InvariantViolation("a complete response lacks the submission's results: " +
                             nameOf(Original.Job));
}

void OwnershipSimulation::checkNotRun(JobId Job) {
  if (StartedJobs_.contains(Job))
    throw InvariantViolation("a started job was reported as not run: " + nameOf(Job));
  ReportedNotRun_.insert(Job);
}

void OwnershipSimulation::checkTasks(JobId Job, const MayHaveRun &Reported) {
  for (std::uint32_t Index = 0; Index < Reported.Tasks.size(); ++Index) {
    TaskId Task{Job, Index};
    bool Started = Starts_.contains(Task);
    if (Reported.Tasks[Index] == TaskOutcome::NotRun) {
      if (Started)
        throw InvariantViolation("a started task was reported as not run, of " + nameOf(Job));
      TasksReportedNotRun_.insert(Task);
    }
    bool Ran = Reported.Tasks[Index] == TaskOutcome::Finished ||
               Reported.Tasks[Index] == TaskOutcome::Failed;
    if (Ran && !Started)
      throw InvariantViolation("a task that never started was reported as ended, of " +
                               nameOf(Job));
  }
}

void OwnershipSimulation::recordStart(TaskId Task) {
  ++Seen["Start"];
  StartedJobs_.insert(Task.Job);
  if (++Starts_[Task] > 1)
    throw InvariantViolation("a task started twice, of " + nameOf(Task.Job));
  if (ReportedNotRun_.contains(Task.Job) || TasksReportedNotRun_.contains(Task))
    throw InvariantViolation("a task started after it was reported as not run, of " +
                             nameOf(Task.Job));
}

} // namespace cornellift::kernel
