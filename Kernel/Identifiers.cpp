#include "Kernel/Identifiers.h"

#include "Libraries/LibCore/Reason.h"

#include <charconv>
#include <cstdio>

namespace cornellift::kernel {
namespace {

constexpr std::size_t MaximumNameLength = 64;
constexpr std::size_t IncarnationDigits = 16;

bool isNameLetter(char Letter) {
  bool Alphanumeric = (Letter >= 'a' && Letter <= 'z') || (Letter >= 'A' && Letter <= 'Z') ||
                      (Letter >= '0' && Letter <= '9');
  return Alphanumeric || Letter == '-' || Letter == '_';
}

bool isName(std::string_view Name) {
  if (Name.empty() || Name.size() > MaximumNameLength)
    return false;
  for (char Letter : Name)
    if (!isNameLetter(Letter))
      return false;
  return true;
}

std::optional<std::uint64_t> parseNumber(std::string_view Text, int Base) {
  std::uint64_t Value = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value, Base);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

std::nullopt_t failMalformed(std::string_view Text) {
  return core::fail(core::ErrorKind::Malformed,
                    "\"" + std::string(Text.substr(0, 2 * MaximumNameLength)) +
                        "\" is not a job identifier; take one from POST /v1/sessions");
}

} // namespace

std::string formatJobId(std::string_view EntryVm, JobId Job) {
  char Digits[IncarnationDigits + 1];
  std::snprintf(Digits, sizeof Digits, "%016llx",
                static_cast<unsigned long long>(Job.Issuer.Value));
  return std::string(EntryVm) + '.' + Digits + '.' + std::to_string(Job.Sequence);
}

std::string formatTaskId(std::string_view EntryVm, TaskId Task) {
  return formatJobId(EntryVm, Task.Job) + '.' + std::to_string(Task.Index);
}

std::optional<NamedJobId> parseJobId(std::string_view Text) {
  auto FirstDot = Text.find('.');
  auto SecondDot = FirstDot == Text.npos ? Text.npos : Text.find('.', FirstDot + 1);
  if (SecondDot == Text.npos)
    return failMalformed(Text);
  auto Name = Text.substr(0, FirstDot);
  auto Digits = Text.substr(FirstDot + 1, SecondDot - FirstDot - 1);
  auto Issuer = parseNumber(Digits, 16);
  auto Sequence = parseNumber(Text.substr(SecondDot + 1), 10);
  if (!isName(Name) || Digits.size() != IncarnationDigits || !Issuer || !Sequence)
    return failMalformed(Text);
  return NamedJobId{std::string(Name), {{*Issuer}, *Sequence}};
}

} // namespace cornellift::kernel
