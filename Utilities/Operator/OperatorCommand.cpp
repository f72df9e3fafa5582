#include "Utilities/Operator/OperatorCommand.h"

#include "Libraries/LibConfiguration/Document.h"
#include "Libraries/LibConfiguration/MergePatch.h"
#include "Libraries/LibConfiguration/StrictJson.h"
#include "Libraries/LibCore/Reason.h"
#include "Utilities/Operator/ChangeSender.h"
#include "Utilities/Operator/Explanation.h"
#include "Utilities/Operator/PlacementQuestion.h"
#include "Utilities/Operator/Tables.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

namespace cornellift::operators {
namespace {

using core::ExitStatus;

constexpr int StatusOk = 200;
constexpr int Indent = 2;
/// Bodies that an entry VM reads at the address of its metrics.
constexpr std::size_t MaximumAskedBytes = 262144;

bool isNumber(const std::string &Text) {
  constexpr std::size_t MaximumDigits = 18;
  return !Text.empty() && Text.size() <= MaximumDigits &&
         std::all_of(Text.begin(), Text.end(),
                     [](char Letter) { return Letter >= '0' && Letter <= '9'; });
}

std::string versionQuery(std::span<const std::string> Versions) {
  if (Versions.empty())
    return {};
  return "?from=" + Versions.front() + "&to=" + Versions.back();
}

} // namespace

OperatorCommand::OperatorCommand(const core::Settings &Settings)
    : Settings_(Settings),
      Client_({Settings.list("entry"), Settings.text("key"), Settings.text("tls-ca")}),
      Deadline_(core::MonotonicClock::now() +
                std::chrono::milliseconds(Settings.integer("timeout-ms"))) {}

ExitStatus OperatorCommand::run() {
  auto Words = Settings_.positional();
  auto Is = [&](const char *Name, std::size_t Arguments) {
    return Words.size() == Arguments + 1 && Words[0] == Name;
  };
  bool HasVersions = Words.size() == 3 && isNumber(Words[1]) && isNumber(Words[2]);
  if (Client_.count() == 0)
    return reportFailure(ExitStatus::BadUsage,
                         "--entry is empty; give the address of at least one entry VM");
  if (!Settings_.text("patch-id").empty() && requestedBaseVersion() == 0 && !Is("seed", 1))
    return reportFailure(ExitStatus::BadUsage,
                         "--patch-id repeats an earlier attempt; give its --base-version too");
  if (Is("patch", 1))
    return patch(Words[1]);
  if (Is("seed", 1))
    return seed(Words[1]);
  if (Is("undo", 1) && isNumber(Words[1]))
    return undo(Words[1]);
  if (Is("drain", 1))
    return drain(Words[1]);
  if (Is("drain-endpoint", 1))
    return drainEndpoint(Words[1]);
  if (Is("show", 0))
    return show();
  if (Is("version", 0))
    return version();
  if (Is("status", 0))
    return status();
  if (Is("diff", 0) || (Is("diff", 2) && HasVersions))
    return difference(Words.subspan(1));
  if (Is("audit", 0) || (Is("audit", 2) && HasVersions))
    return audit(Words.subspan(1));
  if (Is("check", 1))
    return check(Words[1]);
  if (Words.size() >= 3 && Words[0] == "explain")
    return explain(Words[1], Words.subspan(2));
  if (Is("where", 3))
    return where(Words[1], Words[2], Words[3]);
  return reportFailure(ExitStatus::BadUsage, "unknown command or arguments; see --help");
}

ExitStatus OperatorCommand::patch(const std::string &Path) const {
  if (Settings_.text("why").empty())
    return reportFailure(ExitStatus::BadUsage,
                         "give a reason with --why; it is stored with the version");
  auto Patch = readFile(Path);
  if (!Patch)
    return reportFailure(ExitStatus::BadUsage, core::lastReason().Message);
  if (requestedBaseVersion() != 0)
    return sendChange(requestedBaseVersion(), *Patch, Settings_.text("why"));
  ExitStatus Status{};
  auto Head = read("/v1/configuration", Status);
  if (!Head)
    return Status;
  return sendChange(Head->at("version").get<std::uint64_t>(), *Patch, Settings_.text("why"));
}

ExitStatus OperatorCommand::seed(const std::string &Path) const {
  auto Document = readFile(Path);
  if (!Document)
    return reportFailure(ExitStatus::BadUsage, core::lastReason().Message);
  return sendChange(0, *Document, "first configuration");
}

/// Refused when a later version changed the same fields, because the inverse would undo that change
/// too.
ExitStatus OperatorCommand::undo(const std::string &Version) const {
  ExitStatus Status{};
  const std::string Only[] = {Version};
  auto Audit = read("/v1/audit" + versionQuery(Only), Status);
  auto Head = Audit ? read("/v1/configuration", Status) : std::nullopt;
  if (!Head)
    return Status;
  if (Audit->at("records").empty() || Audit->at("records")[0].at("inverse").is_null())
    return reportFailure(ExitStatus::RequestFailed,
                         "version " + Version + " has no audit record that can be undone");
  const auto &Record = Audit->at("records")[0];
  const auto &Document = Head->at("document");
  // An earlier attempt may have been applied already; the entry VM recognises its patch id.
  bool IsRepeated = !Settings_.text("patch-id").empty();
  if (!IsRepeated && configuration::applyMergePatch(Document, Record.at("patch")) != Document)
    return reportFailure(ExitStatus::RequestFailed,
                         "not applied: a later version changed the same fields as version " +
                             Version + "; write a patch instead");
  return sendChange(Head->at("version").get<std::uint64_t>(), Record.at("inverse"),
                    "undo version " + Version + ": " + Record.at("why").get<std::string>());
}

ExitStatus OperatorCommand::drainEndpoint(const std::string &Endpoint) const {
  ExitStatus Status{};
  auto Head = read("/v1/configuration", Status);
  if (!Head)
    return Status;
  if (!Head->at("document").at("endpoints").contains(Endpoint))
    return reportFailure(ExitStatus::RequestFailed, "there is no endpoint \"" + Endpoint +
                                                        "\"; list them with the command show");
  return sendChange(Head->at("version").get<std::uint64_t>(),
                    {{"endpoints", {{Endpoint, {{"drained", true}}}}}}, "drain " + Endpoint);
}

ExitStatus OperatorCommand::drain(const std::string &EntryVm) const {
  for (std::size_t Entry = 0; Entry < Client_.count(); ++Entry) {
    Delivery Failure{};
    auto Status = Client_.send(Entry, "GET", "/v1/status", {}, Deadline_, Failure);
    if (!Status || Status->Body.value("entry_vm", std::string()) != EntryVm)
      continue;
    auto Answer = Client_.send(Entry, "POST", "/v1/drain", Json{{"entry_vm", EntryVm}}.dump(),
                               Deadline_, Failure);
    if (Answer && Answer->Status == StatusOk) {
      std::cout << (Settings_.flag("json") ? Answer->Body.dump() : "draining " + EntryVm)
                << std::endl;
      return ExitStatus::Success;
    }
    if (Answer)
      return reportFailure(ExitStatus::RequestFailed, Answer->Body.value("message", "refused"));
    return reportFailure(Failure == Delivery::NeverSent ? ExitStatus::Unreachable
                                                        : ExitStatus::OutcomeUnknown,
                         core::lastReason().Message);
  }
  return reportFailure(ExitStatus::Unreachable, "no address in --entry answers as entry VM \"" +
                                                    EntryVm + "\"; add its address");
}

ExitStatus OperatorCommand::show() const {
  ExitStatus Status{};
  auto Head = read("/v1/configuration", Status);
  if (Head)
    std::cout << (Settings_.flag("json") ? Head->dump() : Head->at("document").dump(Indent))
              << std::endl;
  return Head ? ExitStatus::Success : Status;
}

ExitStatus OperatorCommand::version() const {
  ExitStatus Status{};
  auto Found = read("/v1/status", Status);
  if (!Found)
    return Status;
  Json Body = {{"version", Found->at("version")}};
  std::cout << (Settings_.flag("json") ? Body.dump() : Found->at("version").dump()) << std::endl;
  return ExitStatus::Success;
}

ExitStatus OperatorCommand::difference(std::span<const std::string> Versions) const {
  ExitStatus Status{};
  auto Found = read("/v1/diff" + versionQuery(Versions), Status);
  if (Found)
    std::cout << (Settings_.flag("json") ? Found->dump() : Found->at("patch").dump(Indent))
              << std::endl;
  return Found ? ExitStatus::Success : Status;
}

ExitStatus OperatorCommand::audit(std::span<const std::string> Versions) const {
  ExitStatus Status{};
  auto Found = read("/v1/audit" + versionQuery(Versions), Status);
  if (!Found)
    return Status;
  if (Settings_.flag("json"))
    std::cout << Found->dump() << std::endl;
  else
    printAudit(std::cout, *Found);
  return ExitStatus::Success;
}

ExitStatus OperatorCommand::status() const {
  ExitStatus Status{};
  auto Found = read("/v1/status", Status);
  if (!Found)
    return Status;
  if (Settings_.flag("json"))
    std::cout << Found->dump() << std::endl;
  else
    printStatus(std::cout, *Found);
  return ExitStatus::Success;
}

ExitStatus OperatorCommand::check(const std::string &Path) const {
  auto Value = readFile(Path);
  if (!Value || !configuration::Document::fromJson(std::move(*Value)))
    return reportFailure(ExitStatus::RequestFailed, core::lastReason().Message);
  std::cout << (Settings_.flag("json") ? R"({"outcome":"valid"})" : "valid") << std::endl;
  return ExitStatus::Success;
}

ExitStatus OperatorCommand::sendChange(std::uint64_t Base, const Json &Patch,
                                       const std::string &Why) const {
  OutgoingChange Change{requestedBaseVersion() == 0 ? Base : requestedBaseVersion(),
                        Settings_.text("patch-id"), Settings_.text("why"), Patch};
  if (Change.PatchId.empty())
    Change.PatchId = makePatchId();
  if (Change.Why.empty())
    Change.Why = Why;
  auto Sent = ChangeSender(Client_, Deadline_).send(Change);
  if (Settings_.flag("json")) {
    Sent.Answer["patch_id"] = Change.PatchId;
    std::cout << Sent.Answer.dump() << std::endl;
    return Sent.Status;
  }
  if (Sent.Status != ExitStatus::Success)
    return reportFailure(Sent.Status, Sent.Answer.value("message", Sent.Answer.dump()));
  std::cout << "version " << Sent.Answer.at("version") << std::endl;
  return Sent.Status;
}

std::uint64_t OperatorCommand::requestedBaseVersion() const {
  return static_cast<std::uint64_t>(Settings_.integer("base-version"));
}

std::optional<nlohmann::json> OperatorCommand::read(const std::string &Path,
                                                    ExitStatus &Status) const {
  auto Answer = Client_.read(Path, Deadline_);
  if (!Answer)
    Status = reportFailure(ExitStatus::Unreachable, core::lastReason().Message);
  else if (Answer->Status != StatusOk)
    Status = reportFailure(ExitStatus::RequestFailed,
                           Answer->Body.value("message", Answer->Body.dump()));
  else
    return std::move(Answer->Body);
  return std::nullopt;
}

std::optional<nlohmann::json> OperatorCommand::readFile(const std::string &Path) const {
  std::string Text;
  if (Path == "-") {
    Text.assign(std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>());
  } else {
    std::ifstream File(Path);
    if (!File.is_open())
      return core::fail(core::ErrorKind::NotFound,
                        "cannot read " + Path + "; give a readable file, or - for standard input");
    Text.assign(std::istreambuf_iterator<char>(File), std::istreambuf_iterator<char>());
  }
  return configuration::parseStrictJson(Text, configuration::MaximumDocumentBytes);
}

ExitStatus OperatorCommand::reportFailure(ExitStatus Status, const std::string &Message) const {
  std::cerr << "cornellift-operator: " << Message << std::endl;
  return Status;
}

ExitStatus OperatorCommand::explain(const std::string &Job,
                                    std::span<const std::string> Paths) const {
  Explanation Found(Job);
  for (const auto &Path : Paths) {
    if (Path == "-") {
      Found.read(std::cin, "-");
      continue;
    }
    std::ifstream Log(Path);
    if (!Log)
      return reportFailure(ExitStatus::BadUsage, "cannot read " + Path + "; give a log file");
    Found.read(Log, std::filesystem::path(Path).stem().string());
  }
  std::cout << Found.render();
  if (Found.unparsedLineCount() > 0)
    std::cerr << Found.unparsedLineCount() << " lines could not be parsed and were skipped\n";
  if (!Found.hasJobLines())
    return reportFailure(ExitStatus::RequestFailed,
                         "no line on job " + Job + "; look for \"lines left out\" at its time");
  return ExitStatus::Success;
}

ExitStatus OperatorCommand::where(const std::string &Host, const std::string &RequestPath,
                                  const std::string &JobFile) const {
  if (!isPlainAddressPart(Host) || !RequestPath.starts_with('/') ||
      !isPlainAddressPart(RequestPath))
    return reportFailure(ExitStatus::BadUsage,
                         "give the host and path of the request, such as prints.example /v1/jobs/");
  auto Job = readFile(JobFile);
  if (!Job)
    return reportFailure(ExitStatus::BadUsage, core::lastReason().Message);
  AskedRequest Asked{Host, RequestPath, Settings_.integer("wait-ms"), Job->dump()};
  if (Asked.Body.size() > MaximumAskedBytes)
    return reportFailure(ExitStatus::BadUsage,
                         "the job has more than 256 KB; ask about one with a shorter specification "
                         "and the same steps");
  auto Answer = PlacementQuestion(Client_, Deadline_).ask(Asked);
  if (Answer.Status != ExitStatus::Success)
    return reportFailure(Answer.Status, Answer.Problem);
  if (Settings_.flag("json"))
    std::cout << Answer.Report.dump() << std::endl;
  else
    printPlacement(std::cout, Answer.Report);
  return ExitStatus::Success;
}

} // namespace cornellift::operators
