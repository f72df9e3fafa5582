#pragma once

#include "Libraries/LibConfiguration/Document.h"

namespace cornellift::entry {

/// Checks that this process implements the policies that the document names, so that no version
/// comes into force that the processes cannot apply. Returns false with Malformed otherwise.
bool namesKnownPolicies(const configuration::Document &Document);

} // namespace cornellift::entry
