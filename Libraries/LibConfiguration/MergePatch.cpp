#include "Libraries/LibConfiguration/MergePatch.h"

namespace cornellift::configuration {

using nlohmann::json;

json mergeDifference(const json &From, const json &To) {
  if (!From.is_object() || !To.is_object())
    return To;
  json Patch = json::object();
  for (const auto &[Name, Value] : From.items())
    if (!To.contains(Name))
      Patch[Name] = nullptr;
  for (const auto &[Name, Value] : To.items()) {
    auto Old = From.find(Name);
    if (Old == From.end())
      Patch[Name] = Value;
    else if (*Old != Value)
      Patch[Name] = mergeDifference(*Old, Value);
  }
  return Patch;
}

json applyMergePatch(json Target, const json &Patch) {
  Target.merge_patch(Patch);
  return Target;
}

} // namespace cornellift::configuration
