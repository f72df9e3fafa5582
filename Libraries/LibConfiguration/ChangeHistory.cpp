#include "Libraries/LibConfiguration/ChangeHistory.h"

#include <utility>

namespace cornellift::configuration {

void ChangeHistory::add(const Change &Record) {
  if (Record.Version != Last_ + 1) {
    Records_.clear();
    Bytes_ = 0;
  }
  Last_ = Record.Version;
  auto Text = toJson(Record).dump();
  Bytes_ += Text.size();
  Records_.push_back(std::move(Text));
  while (!Records_.empty() && (Records_.size() > MaximumRecords || Bytes_ > MaximumBytes)) {
    Bytes_ -= Records_.front().size();
    Records_.pop_front();
  }
}

std::optional<std::vector<std::string>> ChangeHistory::since(std::uint64_t Version) const {
  if (Version == 0 || Version >= Last_ || Last_ - Version > Records_.size())
    return std::nullopt;
  auto Count = static_cast<std::ptrdiff_t>(Last_ - Version);
  return std::vector<std::string>(Records_.end() - Count, Records_.end());
}

} // namespace cornellift::configuration
