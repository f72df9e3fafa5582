#include "Libraries/LibMesh/MeshCoding.h"

#include "Kernel/Pool/SubmittedJob.h"
#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace cornellift::mesh {
namespace {

using namespace cornellift::kernel;

constexpr double MillicoresPerCore = 1000;
constexpr double Percent = 100;

std::uint32_t toCount(double Value) {
  return static_cast<std::uint32_t>(std::max(0.0, std::floor(Value + 1e-6)));
}

void encodeNeed(const Resources &Value, Need &Out) {
  Out.set_processors(Value.Processors);
  Out.set_memory_mb(Value.MemoryMegabytes);
  Out.set_accelerators(Value.Accelerators);
}

Resources decodeNeed(const Need &Message) {
  return {Message.processors(), Message.memory_mb(), Message.accelerators()};
}

void encodeOrder(const JobSubmission &Value, core::TimePoint Now, Order &Out) {
  Out.set_job(static_cast<std::uint64_t>(Value.Key));
  Out.set_specification(Value.Specification);
  for (const auto &Each : Value.Steps) {
    auto &Added = *Out.add_steps();
    Added.set_count(Each.Count);
    encodeNeed(Each.Need, *Added.mutable_need());
    Added.set_declared_ms(Each.DeclaredMilliseconds);
    for (auto Earlier : Each.After)
      Added.add_after(Earlier);
    Added.set_required_label(Each.RequiredLabel);
    Added.set_data_rack(Each.DataRack);
    Added.set_maximum_per_worker(Each.MaximumPerWorker);
  }
  Out.set_route(Value.Policy.Route);
  Out.set_service(Value.Policy.Service);
  Out.set_priority(Value.Policy.Priority);
  Out.set_maximum_attempts(Value.Policy.MaximumAttempts);
  Out.set_stretch(Value.Policy.Stretch);
  Out.set_target_latency_ms(Value.Policy.TargetLatencyMilliseconds);
  Out.set_age_ms(core::toMilliseconds(Now - Value.ReceivedAt));
  Out.set_answer_within_ms(core::toMilliseconds(Value.AnswerBy - Now));
}

/// Returns null with Malformed for a job beyond the limits of checkJob(). The entry process has
/// checked the job, but memory is allocated for as many tasks as the message states.
std::shared_ptr<const JobSubmission> decodeOrder(const Order &Message, core::TimePoint Now) {
  SubmittedJob Job;
  for (const auto &Each : Message.steps()) {
    JobStep Added;
    Added.Count = Each.count();
    Added.Need = decodeNeed(Each.need());
    Added.DeclaredMilliseconds = Each.declared_ms();
    Added.After.assign(Each.after().begin(), Each.after().end());
    Added.RequiredLabel = Each.required_label();
    Added.DataRack = Each.data_rack();
    Added.MaximumPerWorker = Each.maximum_per_worker();
    Job.Steps.push_back(std::move(Added));
  }
  if (!checkJob(Job))
    return nullptr;
  auto Value = std::make_shared<JobSubmission>();
  Value->Key = static_cast<JobKey>(Message.job());
  Value->Specification = Message.specification();
  Value->Steps = std::move(Job.Steps);
  Value->Policy = {Message.route(),    Message.service(),
                   Message.priority(), Message.maximum_attempts(),
                   Message.stretch(),  Message.target_latency_ms()};
  Value->ReceivedAt = Now - core::fromMilliseconds(Message.age_ms());
  Value->AnswerBy = Now + core::fromMilliseconds(Message.answer_within_ms());
  return Value;
}

std::uint32_t millisecondsUntil(std::optional<core::TimePoint> Deadline, core::TimePoint Now) {
  return Deadline ? toCount(std::max(0.0, core::toMilliseconds(*Deadline - Now))) : 0;
}

std::optional<core::TimePoint> deadlineIn(std::uint32_t Milliseconds, core::TimePoint Now) {
  if (Milliseconds == 0)
    return std::nullopt;
  return Now + std::chrono::milliseconds(Milliseconds);
}

void encodeWorker(const WorkerEntry &Value, core::TimePoint Now, Worker &Out) {
  Out.set_id(Value.Id);
  Out.set_address(Value.Address);
  Out.set_data_centre(Value.DataCentre);
  Out.set_service(Value.Service);
  Out.set_draining(Value.State == WorkerState::Draining);
  encodeNeed(Value.Capacity, *Out.mutable_capacity());
  Out.set_slots(Value.Slots);
  for (const auto &Label : Value.Labels)
    Out.add_labels(Label);
  Out.set_born_ms(Value.StartedMilliseconds);
  Out.set_cold_left_ms(millisecondsUntil(Value.ColdUntil, Now));
  Out.set_leaves_in_ms(millisecondsUntil(Value.StaysUntil, Now));
}

WorkerEntry decodeWorker(const Worker &Message, core::TimePoint Now) {
  WorkerEntry Value;
  Value.Id = Message.id();
  Value.Address = Message.address();
  Value.DataCentre = Message.data_centre();
  Value.Service = Message.service();
  Value.State = Message.draining() ? WorkerState::Draining : WorkerState::Ready;
  Value.Capacity = decodeNeed(Message.capacity());
  Value.Slots = Message.slots();
  Value.Labels.assign(Message.labels().begin(), Message.labels().end());
  Value.StartedMilliseconds = Message.born_ms();
  Value.ColdUntil = deadlineIn(Message.cold_left_ms(), Now);
  Value.StaysUntil = deadlineIn(Message.leaves_in_ms(), Now);
  return Value;
}

void encodeReport(const PoolReport &Value, Report &Out) {
  Out.set_directory_version(Value.DirectoryVersion);
  for (const auto &[Position, Availability] : Value.Changes) {
    Out.add_positions(Position);
    Out.add_free_millicores(toCount(Availability.Free.Processors * MillicoresPerCore));
    Out.add_free_memory_mb(toCount(Availability.Free.MemoryMegabytes));
    Out.add_free_accelerators(toCount(Availability.Free.Accelerators));
    Out.add_free_slots(Availability.FreeSlots);
    Out.add_speed_percent(toCount(Availability.Speed * Percent));
  }
  Out.set_waiting_tasks(Value.WaitingTasks);
}

PoolReport decodeReport(const Report &Message) {
  PoolReport Value;
  Value.DirectoryVersion = Message.directory_version();
  Value.WaitingTasks = Message.waiting_tasks();
  auto Count = std::min({Message.free_millicores_size(), Message.free_memory_mb_size(),
                         Message.free_accelerators_size(), Message.free_slots_size(),
                         Message.speed_percent_size(), Message.positions_size()});
  Value.Changes.reserve(static_cast<std::size_t>(Count));
  for (int Row = 0; Row < Count; ++Row)
    Value.Changes.push_back({Message.positions(Row),
                             {{Message.free_millicores(Row) / MillicoresPerCore,
                               static_cast<double>(Message.free_memory_mb(Row)),
                               static_cast<double>(Message.free_accelerators(Row))},
                              Message.free_slots(Row),
                              Message.speed_percent(Row) / Percent}});
  return Value;
}

/// Visitor that writes a pool message into the matching field of a frame.
class FrameWriter {
public:
  FrameWriter(Frame &Out, core::TimePoint Now) : Out_(Out), Now_(Now) {}

  void operator()(const SubmitToPool &Value) const {
    encodeOrder(*Value.Submission, Now_, *Out_.mutable_submit());
  }
  void operator()(const PoolAnswer &Value) const {
    auto &Message = *Out_.mutable_answer();
    Message.set_job(static_cast<std::uint64_t>(Value.Job));
    Message.set_verdict(static_cast<std::uint32_t>(Value.Answer.Verdict));
    Message.set_why(Value.Answer.Why);
    Message.set_retry_after_ms(Value.Answer.RetryAfterMilliseconds);
    Message.set_late(Value.Answer.IsLate);
  }
  void operator()(const AbandonJob &Value) const {
    Out_.mutable_abandon()->set_job(static_cast<std::uint64_t>(Value.Job));
  }
  void operator()(const kernel::CancelJob &Value) const {
    Out_.mutable_cancel_job()->set_job(static_cast<std::uint64_t>(Value.Job));
  }
  void operator()(const kernel::CancelReply &Value) const {
    Out_.mutable_cancel_reply()->set_job(static_cast<std::uint64_t>(Value.Job));
    Out_.mutable_cancel_reply()->set_was_open(Value.WasOpen);
  }
  void operator()(const kernel::CancelledJobs &Value) const {
    auto &Message = *Out_.mutable_cancelled_jobs();
    for (const auto &Each : Value.Jobs) {
      Message.add_jobs(static_cast<std::uint64_t>(Each.Job));
      Message.add_ages_ms(toCount(core::toMilliseconds(Now_ - Each.At)));
    }
  }
  void operator()(const DelegateTasks &Value) const {
    auto &Message = *Out_.mutable_delegate();
    encodeOrder(*Value.Submission, Now_, *Message.mutable_order());
    for (const auto &Task : Value.Tasks) {
      auto &Added = *Message.add_tasks();
      Added.set_task(Task.Task);
      Added.set_run(Task.Run);
    }
  }
  void operator()(const DelegatedTaskEnded &Value) const {
    auto &Message = *Out_.mutable_delegated_end();
    Message.set_job(static_cast<std::uint64_t>(Value.Job));
    Message.set_task(Value.Task);
    Message.set_run(Value.Run);
    Message.set_how(static_cast<std::uint32_t>(Value.How));
    Message.set_worker(Value.Worker);
  }
  void operator()(const StopDelegated &Value) const {
    Out_.mutable_stop_task()->set_job(static_cast<std::uint64_t>(Value.Job));
    Out_.mutable_stop_task()->set_task(Value.Task);
  }
  void operator()(const PoolDirectory &Value) const {
    Out_.mutable_directory()->set_version(Value.Version);
    for (const auto &Entry : Value.Workers)
      encodeWorker(Entry, Now_, *Out_.mutable_directory()->add_workers());
  }
  void operator()(const PoolReport &Value) const { encodeReport(Value, *Out_.mutable_report()); }
  void operator()(const ReleaseWorkers &Value) const {
    for (const auto &Id : Value.Ids)
      Out_.mutable_release()->add_ids(Id);
  }

private:
  Frame &Out_;
  core::TimePoint Now_;
};

template <typename Enumeration>
Enumeration decodeEnumeration(std::uint32_t Value, Enumeration Last) {
  return static_cast<Enumeration>(std::min(Value, static_cast<std::uint32_t>(Last)));
}

} // namespace

Frame encode(const PoolMessage &Message, core::TimePoint Now) {
  Frame Out;
  std::visit(FrameWriter(Out, Now), Message);
  return Out;
}

std::optional<PoolMessage> decode(const Frame &Message, core::TimePoint Now) {
  switch (Message.content_case()) {
  case Frame::kSubmit: {
    auto Submission = decodeOrder(Message.submit(), Now);
    if (!Submission)
      return std::nullopt;
    return SubmitToPool{std::move(Submission)};
  }
  case Frame::kAnswer: {
    const auto &Value = Message.answer();
    return PoolAnswer{static_cast<JobKey>(Value.job()),
                      {decodeEnumeration(Value.verdict(), JobVerdict::Cancelled), Value.why(),
                       Value.retry_after_ms(), Value.late()}};
  }
  case Frame::kAbandon:
    return AbandonJob{static_cast<JobKey>(Message.abandon().job())};
  case Frame::kCancelJob:
    return kernel::CancelJob{static_cast<JobKey>(Message.cancel_job().job())};
  case Frame::kCancelReply:
    return kernel::CancelReply{static_cast<JobKey>(Message.cancel_reply().job()),
                               Message.cancel_reply().was_open()};
  case Frame::kCancelledJobs: {
    const auto &Value = Message.cancelled_jobs();
    kernel::CancelledJobs Decoded;
    auto Count = std::min(Value.jobs_size(), Value.ages_ms_size());
    for (int Position = 0; Position < Count; ++Position)
      Decoded.Jobs.push_back({static_cast<JobKey>(Value.jobs(Position)),
                              Now - std::chrono::milliseconds(Value.ages_ms(Position))});
    return Decoded;
  }
  case Frame::kDelegate: {
    DelegateTasks Value{decodeOrder(Message.delegate().order(), Now), {}};
    if (!Value.Submission)
      return std::nullopt;
    for (const auto &Task : Message.delegate().tasks())
      Value.Tasks.push_back({Task.task(), Task.run()});
    return Value;
  }
  case Frame::kDelegatedEnd: {
    const auto &Value = Message.delegated_end();
    return DelegatedTaskEnded{static_cast<JobKey>(Value.job()), Value.task(), Value.run(),
                              decodeEnumeration(Value.how(), kernel::DelegatedEnd::Lost),
                              Value.worker()};
  }
  case Frame::kStopTask:
    return StopDelegated{static_cast<JobKey>(Message.stop_task().job()),
                         Message.stop_task().task()};
  case Frame::kDirectory: {
    PoolDirectory Value{Message.directory().version(), {}};
    for (const auto &Entry : Message.directory().workers())
      Value.Workers.push_back(decodeWorker(Entry, Now));
    return Value;
  }
  case Frame::kReport:
    return decodeReport(Message.report());
  case Frame::kRelease:
    return ReleaseWorkers{{Message.release().ids().begin(), Message.release().ids().end()}};
  default:
    return core::fail(core::ErrorKind::Malformed, "the frame carries no message between managers");
  }
}

} // namespace cornellift::mesh
