#include "Libraries/LibConfiguration/Document.h"

#include "Libraries/LibConfiguration/CrossChecks.h"
#include "Libraries/LibConfiguration/DocumentSchema.h"
#include "Libraries/LibConfiguration/StrictJson.h"
#include "Libraries/LibCore/Reason.h"

namespace cornellift::configuration {

std::optional<Document> Document::parse(std::string_view Text) {
  auto Value = parseStrictJson(Text, MaximumDocumentBytes);
  if (!Value)
    return std::nullopt;
  return fromJson(std::move(*Value));
}

std::optional<Document> Document::fromJson(nlohmann::json Value) {
  if (!matchesDocumentSchema(Value) || !passesCrossChecks(Value))
    return std::nullopt;
  Document Result(std::move(Value));
  auto Bytes = Result.text().size();
  if (Bytes > MaximumDocumentBytes)
    return core::fail(core::ErrorKind::TooLarge, "the document has " + std::to_string(Bytes) +
                                                     " bytes; remove what is unused, "
                                                     "at most " +
                                                     std::to_string(MaximumDocumentBytes) +
                                                     " are kept");
  return Result;
}

} // namespace cornellift::configuration
