#pragma once

#include "Libraries/LibConfiguration/Document.h"

namespace cornellift::entry {

/// Checks that this process has the policies that the document names, so that no version comes into
/// force that the processes cannot follow. Fails with Malformed.
bool namesKnownPolicies(const configuration::Document &Document);

} // namespace cornellift::entry
