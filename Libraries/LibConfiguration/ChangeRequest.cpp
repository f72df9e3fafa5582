#include "Libraries/LibConfiguration/ChangeRequest.h"

#include "Libraries/LibConfiguration/CrossChecks.h"
#include "Libraries/LibConfiguration/Document.h"
#include "Libraries/LibConfiguration/StrictJson.h"

#include <algorithm>
#include <cctype>

namespace cornellift::configuration {
namespace {

using core::ErrorKind;
using nlohmann::json;

/// 16 KB are left for the fields beside the patch.
constexpr std::size_t MaximumRequestBytes = MaximumDocumentBytes + (16 << 10);

bool isPatchId(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaximumPatchIdLength &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Letter) {
           return std::isalnum(Letter) != 0 || Letter == '-';
         });
}

bool hasOnlyKnownFields(const json &Value) {
  for (const auto &[Name, Field] : Value.items())
    if (Name != "base_version" && Name != "patch_id" && Name != "why" && Name != "patch")
      return core::failFalse(ErrorKind::Malformed, "unknown field \"" + Name + "\"; remove it");
  return true;
}

bool checkBounds(const ChangeRequest &Request) {
  if (!isPatchId(Request.PatchId))
    return core::failFalse(ErrorKind::Malformed,
                           "give a patch_id of 1 to 64 letters, digits and \"-\"");
  if (!isName(Request.Who))
    return core::failFalse(ErrorKind::Malformed, "the operator has no valid name");
  if (Request.Why.empty() || Request.Why.size() > MaximumWhyBytes)
    return core::failFalse(ErrorKind::Malformed, "give a reason (why) of 1 to 1000 bytes");
  if (!Request.Patch.is_object())
    return core::failFalse(ErrorKind::Malformed, "the patch has to be a JSON object");
  auto Bytes = Request.Patch.dump().size();
  auto Maximum = Request.BaseVersion == 0 ? MaximumDocumentBytes : MaximumPatchBytes;
  if (Bytes > Maximum)
    return core::failFalse(ErrorKind::TooLarge, "the patch has " + std::to_string(Bytes) +
                                                    " bytes; split it into parts of at most " +
                                                    std::to_string(Maximum));
  return true;
}

} // namespace

std::optional<ChangeRequest> ChangeRequest::parse(std::string_view Text, std::string_view Who) {
  auto Value = parseStrictJson(Text, MaximumRequestBytes);
  if (!Value)
    return std::nullopt;
  if (!Value->is_object())
    return core::fail(ErrorKind::Malformed,
                      "send an object with base_version, patch_id, why and patch");
  if (!hasOnlyKnownFields(*Value))
    return std::nullopt;
  auto Base = Value->find("base_version");
  if (Base == Value->end() || !Base->is_number_unsigned())
    return core::fail(ErrorKind::Malformed,
                      "give base_version, the version that the patch was made against");
  try {
    ChangeRequest Request;
    Request.BaseVersion = Base->get<std::uint64_t>();
    Request.PatchId = Value->at("patch_id").get<std::string>();
    Request.Who = Who;
    Request.Why = Value->at("why").get<std::string>();
    Request.Patch = std::move(Value->at("patch"));
    if (!checkBounds(Request))
      return std::nullopt;
    return Request;
  } catch (const json::exception &) {
    return core::fail(ErrorKind::Malformed, "give patch_id and why as text, and patch");
  }
}

} // namespace cornellift::configuration
