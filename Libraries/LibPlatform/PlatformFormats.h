#pragma once

#include "Libraries/LibCore/PluginRegistry.h"
#include "Libraries/LibPlatform/CallerFormat.h"
#include "Libraries/LibPlatform/StoreFormat.h"
#include "Libraries/LibPlatform/WorkerFormat.h"

namespace cornellift::platform {

/// Message formats of one platform for callers, workers and the store. Implementations only
/// translate between the platform's messages and the program's types; they make no decisions.
class PlatformFormats {
public:
  virtual ~PlatformFormats() = default;
  virtual const CallerFormat &callers() const = 0;
  virtual const WorkerFormat &workers() const = 0;
  virtual const StoreFormat &store() const = 0;
};

using PlatformFormatsRegistry = core::PluginRegistry<PlatformFormats>;

} // namespace cornellift::platform
