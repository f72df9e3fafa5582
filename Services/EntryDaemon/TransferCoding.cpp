#include "Services/EntryDaemon/TransferCoding.h"

#include "Libraries/LibCore/Reason.h"
#include "Services/EntryDaemon/TaskCoding.h"

#include <optional>
#include <utility>

namespace cornellift::entry {
namespace {

using kernel::KernelConfiguration;

std::string teamName(const KernelConfiguration &Configuration, kernel::TeamIndex Team) {
  return Configuration.Teams[static_cast<std::size_t>(Team)].Name;
}

std::int64_t toOptionalWallClock(const std::optional<core::TimePoint> &Time) {
  return Time ? core::toWallClock(*Time) : 0;
}

std::optional<core::TimePoint> fromOptionalWallClock(std::int64_t Wall) {
  if (Wall == 0)
    return std::nullopt;
  return core::fromWallClock(Wall);
}

void encodeJobId(kernel::JobId Job, std::uint64_t Fingerprint, std::string Team,
                 peer::TransferJobId &To) {
  To.set_incarnation(Job.Issuer.Value);
  To.set_sequence(Job.Sequence);
  To.set_fingerprint(Fingerprint);
  To.set_team(std::move(Team));
}

kernel::JobId decodeJobId(const peer::TransferJobId &From) {
  return {{From.incarnation()}, From.sequence()};
}

void encodeJob(const kernel::TransferredJob &Job, const KernelConfiguration &Configuration,
               peer::TransferJob &To) {
  const auto &Service = Configuration.Services[static_cast<std::size_t>(Job.Spec.Service)];
  encodeJobId(Job.Job, Job.Fingerprint, teamName(Configuration, Job.Spec.Team), *To.mutable_job());
  To.set_service(Service.Name);
  To.set_kind(Service.Kinds[static_cast<std::size_t>(Job.Spec.Kind)].Name);
  To.set_deadline(toOptionalWallClock(Job.Spec.Deadline));
  for (const auto &Task : Job.Spec.Tasks) {
    *To.add_tasks() = encode(Task);
    To.add_payload_bytes(Task.PayloadBytes);
  }
  if (Job.Spec.Payload)
    for (const auto &Payload : Job.Spec.Payload->Tasks)
      To.add_payloads(Payload);
}

std::optional<kernel::TransferredJob> decodeJob(const peer::TransferJob &From,
                                                const KernelConfiguration &Configuration) {
  auto Service = findService(Configuration, From.service());
  auto Team = findTeam(Configuration, From.job().team());
  auto Kind =
      Service ? findKind(Configuration.Services[static_cast<std::size_t>(*Service)], From.kind())
              : std::nullopt;
  if (!Service || !Team || !Kind)
    return std::nullopt;
  kernel::TransferredJob Result;
  Result.Job = decodeJobId(From.job());
  Result.Fingerprint = From.job().fingerprint();
  Result.Spec.Team = *Team;
  Result.Spec.Service = *Service;
  Result.Spec.Kind = *Kind;
  Result.Spec.Deadline = fromOptionalWallClock(From.deadline());
  for (int Index = 0; Index < From.tasks_size(); ++Index) {
    Result.Spec.Tasks.push_back(decode(From.tasks(Index)));
    if (Index < From.payload_bytes_size())
      Result.Spec.Tasks.back().PayloadBytes = From.payload_bytes(Index);
  }
  Result.Spec.Payload = std::make_shared<const kernel::JobPayload>(
      kernel::JobPayload{{From.payloads().begin(), From.payloads().end()}});
  return Result;
}

void encodeOutcome(const kernel::TransferredOutcome &Kept, const KernelConfiguration &Configuration,
                   peer::TransferOutcome &To) {
  encodeJobId(Kept.Job, Kept.Fingerprint, teamName(Configuration, Kept.Team), *To.mutable_job());
  To.set_keep_until(core::toWallClock(Kept.KeepUntil));
  To.set_fetched(Kept.Fetching == kernel::TransferredOutcome::FetchState::Fetched);
  if (const auto *Done = std::get_if<kernel::Complete>(&*Kept.Result)) {
    To.set_form(peer::TransferOutcome::COMPLETE);
    for (const auto &Result : Done->Results)
      To.add_results(Result ? *Result : std::string());
  } else if (const auto *Refused = std::get_if<kernel::NotRun>(&*Kept.Result)) {
    To.set_form(peer::TransferOutcome::NOT_RUN);
    To.set_error(static_cast<std::uint32_t>(Refused->Kind));
    To.set_reason(Refused->Reason);
    To.set_retry_at(toOptionalWallClock(Refused->RetryAt));
  } else {
    const auto &Unknown = std::get<kernel::MayHaveRun>(*Kept.Result);
    To.set_form(peer::TransferOutcome::MAY_HAVE_RUN);
    To.set_error(static_cast<std::uint32_t>(Unknown.Kind));
    To.set_reason(Unknown.Reason);
    for (auto Task : Unknown.Tasks)
      To.add_tasks(static_cast<std::uint32_t>(Task));
  }
}

core::ErrorKind decodeError(std::uint32_t Error) {
  return Error > static_cast<std::uint32_t>(core::ErrorKind::Internal)
             ? core::ErrorKind::Internal
             : static_cast<core::ErrorKind>(Error);
}

kernel::Outcome decodeResult(const peer::TransferOutcome &From) {
  auto Error = decodeError(From.error());
  switch (From.form()) {
  case peer::TransferOutcome::COMPLETE: {
    kernel::Complete Done;
    for (const auto &Result : From.results())
      Done.Results.push_back(std::make_shared<const std::string>(Result));
    return Done;
  }
  case peer::TransferOutcome::NOT_RUN:
    return kernel::NotRun{Error, From.reason(), fromOptionalWallClock(From.retry_at())};
  default:
    break;
  }
  kernel::MayHaveRun Unknown{Error, From.reason(), {}};
  constexpr auto Last = static_cast<std::uint32_t>(kernel::TaskOutcome::NotRun);
  for (auto Task : From.tasks())
    Unknown.Tasks.push_back(Task > Last ? kernel::TaskOutcome::MayHaveRun
                                        : static_cast<kernel::TaskOutcome>(Task));
  return Unknown;
}

std::optional<kernel::TransferredOutcome> decodeOutcome(const peer::TransferOutcome &From,
                                                        const KernelConfiguration &Configuration) {
  auto Team = findTeam(Configuration, From.job().team());
  if (!Team)
    return std::nullopt;
  kernel::TransferredOutcome Kept;
  Kept.Job = decodeJobId(From.job());
  Kept.Fingerprint = From.job().fingerprint();
  Kept.Team = *Team;
  Kept.Result = std::make_shared<const kernel::Outcome>(decodeResult(From));
  Kept.KeepUntil = core::fromWallClock(From.keep_until());
  Kept.Fetching = From.fetched() ? kernel::TransferredOutcome::FetchState::Fetched
                                 : kernel::TransferredOutcome::FetchState::Unfetched;
  return Kept;
}

std::optional<kernel::TransferredBlock> decodeBlock(const peer::TransferBlock &From,
                                                    const KernelConfiguration &Configuration) {
  kernel::TransferredBlock Block;
  Block.Issuer = {From.incarnation()};
  Block.First = From.first();
  Block.Deadline = core::fromWallClock(From.deadline());
  Block.Accepted = From.accepted();
  Block.NeverRun = From.never_run();
  if (From.team().empty())
    return Block;
  Block.Team = findTeam(Configuration, From.team());
  if (!Block.Team)
    return std::nullopt;
  return Block;
}

void encodeBlocks(const kernel::TransferPart &Part, const KernelConfiguration &Configuration,
                  peer::TransferPart &To) {
  for (const auto &Block : Part.Blocks) {
    auto *Sent = To.add_blocks();
    Sent->set_incarnation(Block.Issuer.Value);
    Sent->set_first(Block.First);
    Sent->set_deadline(core::toWallClock(Block.Deadline));
    Sent->set_accepted(Block.Accepted);
    Sent->set_never_run(Block.NeverRun);
    if (Block.Team)
      Sent->set_team(teamName(Configuration, *Block.Team));
  }
}

/// Decodes all entries of one list; returns false when one of them cannot be decoded.
template <typename Source, typename Target, typename Decoder>
bool decodeAll(const Source &From, Target &To, Decoder Decode) {
  for (const auto &Entry : From) {
    auto Decoded = Decode(Entry);
    if (!Decoded)
      return false;
    To.push_back(std::move(*Decoded));
  }
  return true;
}

} // namespace

peer::TransferRequest encodeTransfer(const kernel::TransferPart &Part,
                                     const KernelConfiguration &Configuration,
                                     const IssuerNames &Names) {
  peer::TransferRequest Result;
  Result.set_sender_vm(Names.nameOf(Part.Sender));
  Result.set_sender(Part.Sender.Value);
  Result.set_receiver(Part.Receiver.Value);
  Result.set_transfer(Part.Transfer);
  auto &To = *Result.mutable_part();
  To.set_number(Part.Number);
  To.set_outcomes_only(Part.Kind == kernel::TransferPart::Content::Outcomes);
  for (const auto &Issuer : Part.Issuers) {
    auto *Sent = To.add_issuers();
    Sent->set_incarnation(Issuer.Issuer.Value);
    Sent->set_entry_vm(Names.nameOf(Issuer.Issuer));
    Sent->set_first_sequence(Issuer.FirstSequence);
    Sent->set_next_sequence(Issuer.NextSequence);
  }
  encodeBlocks(Part, Configuration, To);
  for (const auto &Job : Part.Jobs)
    encodeJob(Job, Configuration, *To.add_jobs());
  for (const auto &Job : Part.Running)
    encodeJobId(Job.Job, Job.Fingerprint, teamName(Configuration, Job.Team), *To.add_running());
  for (const auto &Kept : Part.Outcomes)
    encodeOutcome(Kept, Configuration, *To.add_outcomes());
  return Result;
}

std::shared_ptr<const kernel::TransferPart> decodeTransfer(const peer::TransferRequest &Request,
                                                           const KernelConfiguration &Configuration,
                                                           IssuerNames &Names) {
  auto Part = std::make_shared<kernel::TransferPart>();
  const auto &From = Request.part();
  Part->Sender = {Request.sender()};
  Part->Receiver = {Request.receiver()};
  Part->Transfer = Request.transfer();
  Part->Number = From.number();
  Part->Kind = From.outcomes_only() ? kernel::TransferPart::Content::Outcomes
                                    : kernel::TransferPart::Content::State;
  for (const auto &Issuer : From.issuers()) {
    Part->Issuers.push_back(
        {{Issuer.incarnation()}, Issuer.first_sequence(), Issuer.next_sequence()});
    Names.add({Issuer.incarnation()}, Issuer.entry_vm());
  }
  auto DecodeRunning = [&](const auto &Job) -> std::optional<kernel::TransferredRunning> {
    auto Team = findTeam(Configuration, Job.team());
    if (!Team)
      return std::nullopt;
    return kernel::TransferredRunning{decodeJobId(Job), Job.fingerprint(), *Team};
  };
  bool Known = decodeAll(From.blocks(), Part->Blocks,
                         [&](auto &Block) { return decodeBlock(Block, Configuration); }) &&
               decodeAll(From.jobs(), Part->Jobs,
                         [&](auto &Job) { return decodeJob(Job, Configuration); }) &&
               decodeAll(From.running(), Part->Running, DecodeRunning) &&
               decodeAll(From.outcomes(), Part->Outcomes,
                         [&](auto &Kept) { return decodeOutcome(Kept, Configuration); });
  if (Known)
    return Part;
  core::fail(core::ErrorKind::NotFound,
             "the part names a service, kind or team that is not configured here; choose a "
             "successor with the same configuration");
  return nullptr;
}

} // namespace cornellift::entry
