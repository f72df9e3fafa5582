#pragma once

#include <iosfwd>

#include <nlohmann/json.hpp>

namespace cornellift::operators {

/// Prints the answers of an entry VM as text tables.
void printStatus(std::ostream &Out, const nlohmann::json &Status);
void printAudit(std::ostream &Out, const nlohmann::json &Audit);
void printPlacement(std::ostream &Out, const nlohmann::json &Report);

} // namespace cornellift::operators
