#pragma once

#include "Kernel/KernelConfiguration.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cornellift::configuration {

/// The platform's store takes values up to 1 MB; the head holds the document and one change.
constexpr std::size_t MaximumDocumentBytes = 512 << 10;

/// A configuration document that has passed the schema and the cross checks. Docs/CONFIGURATION.md
/// lists its fields.
class Document {
public:
  /// Fails with TooLarge or Malformed; the message names the field at fault.
  static std::optional<Document> parse(std::string_view Text);
  static std::optional<Document> fromJson(nlohmann::json Value);

  const nlohmann::json &json() const { return Value_; }

  /// Compact JSON with sorted names: equal documents have equal texts.
  std::string text() const { return Value_.dump(); }

  /// Converts to the form of the kernel. Names that Previous has keep their index; names that are
  /// gone keep their place with Removed set, and endpoints that are gone are drained.
  kernel::KernelConfiguration
  toKernelConfiguration(std::uint64_t Version,
                        const kernel::KernelConfiguration *Previous = nullptr) const;

private:
  explicit Document(nlohmann::json Value) : Value_(std::move(Value)) {}

  nlohmann::json Value_;
};

/// Adds one endpoint per data centre that stands for its entry VMs, to which tasks are delegated.
/// It has no slots of its own; the delegation duty grants them.
void addDelegates(kernel::KernelConfiguration &Configuration);

} // namespace cornellift::configuration
