#pragma once

#include "Libraries/LibCore/PluginRegistry.h"
#include "Libraries/LibPlatform/CallerFormat.h"
#include "Libraries/LibPlatform/StoreFormat.h"
#include "Libraries/LibPlatform/WorkerFormat.h"

namespace cornellift::platform {

/// What is spoken on one platform, with callers, workers and store. Implementations decide nothing:
/// they translate between the platform's names and the product's types.
class PlatformFormats {
public:
  virtual ~PlatformFormats() = default;
  virtual const CallerFormat &callers() const = 0;
  virtual const WorkerFormat &workers() const = 0;
  virtual const StoreFormat &store() const = 0;
};

using PlatformFormatsRegistry = core::PluginRegistry<PlatformFormats>;

} // namespace cornellift::platform
