#include "Libraries/LibConfiguration/ChangeRequest.h"
#include "Libraries/LibConfiguration/Document.h"
#include "Libraries/LibConfiguration/Head.h"
#include "Libraries/LibConfiguration/MergePatch.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string_view>

using namespace cornellift::configuration;

namespace {

void require(bool Holds, const char *Property) {
  if (Holds)
    return;
  std::cerr << "does not hold: " << Property << std::endl;
  std::abort();
}

void checkDocument(const Document &Parsed) {
  auto Again = Document::parse(Parsed.text());
  require(Again && Again->json() == Parsed.json(), "a document's text parses to the same document");
  auto First = Parsed.toKernelConfiguration(1);
  auto Second = Parsed.toKernelConfiguration(2, &First);
  require(First.Endpoints.size() == Second.Endpoints.size() &&
              First.Teams.size() == Second.Teams.size(),
          "a document that does not change adds no names");
}

void checkPatch(const nlohmann::json &Patch) {
  const auto Before = nlohmann::json::parse(R"({"teams": {"a": {"quota_share": 2}}, "b": [1]})");
  auto After = applyMergePatch(Before, Patch);
  require(applyMergePatch(After, mergeDifference(After, Before)) == Before,
          "the inverse difference reverts a patch");
}

} // namespace

/// Entry point of libFuzzer and of the corpus test. Parses everything that operators and the store
/// send.
extern "C" int LLVMFuzzerTestOneInput( // NOLINT(readability-identifier-naming)
    const std::uint8_t *Data, std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  if (auto Parsed = Document::parse(Text))
    checkDocument(*Parsed);
  if (auto Parsed = Head::parse(Text))
    require(Head::parse(Parsed->text()).has_value(), "a head's text parses");
  if (auto Request = ChangeRequest::parse(Text, "ada"))
    checkPatch(Request->Patch);
  return 0;
}
