#include "Kernel/Pool/JobKey.h"

#include "Libraries/LibCore/Reason.h"

#include <charconv>

namespace cornellift::kernel {
namespace {

constexpr std::size_t KeyDigits = 16;

} // namespace

std::string formatJobKey(JobKey Key) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Text(KeyDigits, '0');
  auto Value = static_cast<std::uint64_t>(Key);
  for (auto Position = KeyDigits; Position-- > 0; Value >>= 4)
    Text[Position] = Digits[Value & 0xF];
  return Text;
}

std::optional<JobKey> parseJobKey(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Value, 16);
  if (Text.size() != KeyDigits || Parsed.ec != std::errc() || Parsed.ptr != End)
    return core::fail(core::ErrorKind::Malformed, "\"" + std::string(Text) +
                                                      "\" is not a job identifier; use 16 "
                                                      "hexadecimal digits");
  return static_cast<JobKey>(Value);
}

} // namespace cornellift::kernel
