#include "Utilities/Load/EntryProbe.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <httplib.h>
#include <unistd.h>

namespace cornellift::load {

std::optional<std::vector<double>> readCounters(const std::vector<std::string> &Addresses,
                                                const std::vector<std::string> &Names) {
  std::vector<double> Sums(Names.size());
  for (const auto &Address : Addresses) {
    httplib::Client Client("http://" + Address);
    auto Page = Client.Get("/metrics");
    if (!Page || Page->status != 200)
      return core::fail(core::ErrorKind::Unavailable,
                        "no metrics from " + Address + "; check --entry");
    std::istringstream Lines(Page->body);
    std::string Name;
    for (double Value = 0; Lines >> Name >> Value;) {
      auto Found = std::find(Names.begin(), Names.end(), Name);
      if (Found != Names.end())
        Sums[static_cast<std::size_t>(Found - Names.begin())] += Value;
    }
  }
  return Sums;
}

std::optional<double> processorMicroseconds(const std::vector<std::string> &ProcessIds) {
  constexpr int FieldsBeforeUserTime = 11; // After the process name, which may contain spaces.
  double Sum = 0;
  for (const auto &Id : ProcessIds) {
    std::ifstream File("/proc/" + Id + "/stat");
    std::string Text;
    std::getline(File, Text);
    auto End = Text.rfind(')');
    if (End == std::string::npos)
      return core::fail(core::ErrorKind::NotFound,
                        "process " + Id + " does not exist; check --entry-pids");
    std::istringstream Fields(Text.substr(End + 1));
    std::string Skipped;
    for (int Count = 0; Count < FieldsBeforeUserTime; ++Count)
      Fields >> Skipped;
    double User = 0;
    double System = 0;
    Fields >> User >> System;
    Sum += (User + System) * 1e6 / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }
  return Sum;
}

} // namespace cornellift::load
