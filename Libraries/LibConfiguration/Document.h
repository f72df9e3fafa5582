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
  /// Fails with TooLarge or Malformed; the message names the invalid field.
  static std::optional<Document> parse(std::string_view Text);
  static std::optional<Document> fromJson(nlohmann::json Value);

  const nlohmann::json &json() const { return Value_; }

  /// Compact JSON with sorted names: equal documents have equal texts.
  std::string text() const { return Value_.dump(); }

  /// Converts the document to the kernel's representation. Names that Previous contains keep their
  /// index; removed names keep it too, with Removed set, and removed endpoints are drained.
  kernel::KernelConfiguration
  toKernelConfiguration(std::uint64_t Version,
                        const kernel::KernelConfiguration *Previous = nullptr) const;

private:
  explicit Document(nlohmann::json Value) : Value_(std::move(Value)) {}

  nlohmann::json Value_;
};

/// Adds one endpoint per data centre that represents its entry VMs, to which tasks are delegated.
/// It has no slots of its own; the delegation client sets them.
void addDelegates(kernel::KernelConfiguration &Configuration);

} // namespace cornellift::configuration
