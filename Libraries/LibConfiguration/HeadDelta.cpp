#include "Libraries/LibConfiguration/HeadDelta.h"

#include "Libraries/LibConfiguration/Head.h"
#include "Libraries/LibConfiguration/StrictJson.h"
#include "Libraries/LibCore/Reason.h"
#include "Libraries/LibPlatform/PlatformStore.h"

#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cornellift::configuration {

using core::ErrorKind;
using nlohmann::json;

std::uint64_t digestOf(std::string_view HeadText) {
  return XXH3_64bits(HeadText.data(), HeadText.size());
}

std::optional<std::string> applyDelta(std::string_view BaseText, const HeadDelta &Delta) {
  auto Head = parseStrictJson(BaseText, platform::MaximumValueBytes);
  if (!Head)
    return std::nullopt;
  if (!Head->is_object() || Head->value("version", json()) != Delta.BaseVersion)
    return core::fail(ErrorKind::Conflict,
                      "the changes are against another version; fetch the whole head");
  auto Version = Delta.BaseVersion;
  for (const auto &Text : Delta.Changes) {
    auto Value = parseStrictJson(Text, platform::MaximumValueBytes);
    auto Record = Value ? changeFromJson(*Value) : std::nullopt;
    if (!Record)
      return std::nullopt;
    if (Record->Version != ++Version)
      return core::fail(ErrorKind::Conflict, "a change is missing; fetch the whole head");
    (*Head)["document"].merge_patch(Record->Patch);
    (*Head)["change"] = std::move(*Value);
  }
  (*Head)["version"] = Version;
  auto Result = Head->dump();
  if (Version != Delta.Version || digestOf(Result) != Delta.Digest)
    return core::fail(ErrorKind::Conflict,
                      "the result does not match the digest; fetch the whole head");
  return Result;
}

} // namespace cornellift::configuration
