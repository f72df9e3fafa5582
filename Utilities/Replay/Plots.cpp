#include "Utilities/Replay/Plots.h"

#include "Libraries/LibCore/Reason.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace cornellift::replay {
namespace {

constexpr std::size_t CurveSteps = 200;

bool openIn(const std::string &Directory, const std::string &Name, std::ofstream &File) {
  std::error_code Ignored;
  std::filesystem::create_directories(Directory, Ignored);
  File.open(std::filesystem::path(Directory) / Name);
  if (File)
    return true;
  return core::failFalse(core::ErrorKind::Unavailable,
                         "cannot write " + Directory + "/" + Name + "; check the directory");
}

bool writeResponses(const std::string &Directory, std::span<const ComparedRun> Runs) {
  std::ofstream Script;
  if (!openIn(Directory, "responses.gp", Script))
    return false;
  Script << "set terminal svg size 800,500\nset output 'responses.svg'\nset key bottom right\n"
            "set logscale x\nset xlabel 'response time (ms)'\nset ylabel 'share of jobs'\nplot ";
  for (std::size_t Run = 0; Run < Runs.size(); ++Run) {
    const auto &Name = Runs[Run].Figures.Policy;
    std::ofstream Data;
    if (!openIn(Directory, "responses-" + Name + ".dat", Data))
      return false;
    auto Sorted = Runs[Run].Responses;
    std::sort(Sorted.begin(), Sorted.end());
    for (std::size_t Step = 0; Step < CurveSteps && !Sorted.empty(); ++Step)
      Data << Sorted[Step * Sorted.size() / CurveSteps] << ' '
           << static_cast<double>(Step) / CurveSteps << '\n';
    Script << (Run > 0 ? ", " : "") << "'responses-" << Name << ".dat' with lines title '" << Name
           << "'";
  }
  Script << '\n';
  return true;
}

bool writeSlots(const std::string &Directory, const ComparedRun &Run) {
  std::ofstream Data;
  std::ofstream Script;
  if (!openIn(Directory, "slots.dat", Data) || !openIn(Directory, "slots.gp", Script))
    return false;
  for (const auto &Sample : Run.Samples)
    Data << Sample.At / 1000 << ' ' << Sample.Busy << ' ' << Sample.Slots << ' ' << Sample.Waiting
         << ' ' << Sample.Ejected << '\n';
  Script << "set terminal svg size 800,500\nset output 'slots.svg'\nset xlabel 'time (s)'\n"
            "set ylabel 'slots'\nset y2label 'waiting tasks'\nset y2tics\n"
            "plot 'slots.dat' using 1:2 with lines title 'busy', "
            "'slots.dat' using 1:3 with lines title 'available', "
            "'slots.dat' using 1:4 axes x1y2 with lines title 'waiting tasks'\n";
  return true;
}

} // namespace

bool writePlots(const std::string &Directory, std::span<const ComparedRun> Runs) {
  return Runs.empty() || (writeResponses(Directory, Runs) && writeSlots(Directory, Runs.front()));
}

bool writeMessageCostPlot(const std::string &Directory, std::span<const MessageCostPoint> Points) {
  std::ofstream Data;
  std::ofstream Script;
  if (!openIn(Directory, "message-cost.dat", Data) || !openIn(Directory, "message-cost.gp", Script))
    return false;
  for (const auto &Point : Points)
    Data << Point.MessageCost << ' ' << Point.WastedPerTask << ' ' << Point.MeanRatio << ' '
         << Point.P99Ratio << '\n';
  Script << "set terminal svg size 800,500\nset output 'message-cost.svg'\n"
            "set xlabel 'wasted messages per task'\nset ylabel 'response time over ideal'\n"
            "plot 'message-cost.dat' using 2:3 with linespoints title 'mean', "
            "'message-cost.dat' using 2:4 with linespoints title 'p99', "
            "'message-cost.dat' using 2:3:1 with labels offset 1,1 notitle\n";
  return true;
}

} // namespace cornellift::replay
