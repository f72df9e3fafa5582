#include "Services/EntryDaemon/PolicyCheck.h"

#include "Kernel/Scheduling/AdmissionPolicy.h"
#include "Kernel/Scheduling/OrderingPolicy.h"
#include "Kernel/Scheduling/PlacementPolicy.h"
#include "Libraries/LibCore/Reason.h"

#include <algorithm>

namespace cornellift::entry {
namespace {

bool isKnown(const char *Field, const std::string &Name, const std::vector<std::string> &Names) {
  if (std::find(Names.begin(), Names.end(), Name) != Names.end())
    return true;
  std::string Known;
  for (const auto &Entry : Names)
    Known += (Known.empty() ? "" : ", ") + Entry;
  return core::failFalse(core::ErrorKind::Malformed, std::string("policy/") + Field +
                                                         ": there is no \"" + Name +
                                                         "\"; use one of: " + Known);
}

} // namespace

bool namesKnownPolicies(const configuration::Document &Document) {
  auto Policy = Document.toKernelConfiguration(1).Policy;
  return isKnown("placement", Policy.Placement, kernel::PlacementRegistry::instance().names()) &&
         isKnown("ordering", Policy.Ordering, kernel::OrderingRegistry::instance().names()) &&
         isKnown("admission", Policy.Admission, kernel::AdmissionRegistry::instance().names());
}

} // namespace cornellift::entry
