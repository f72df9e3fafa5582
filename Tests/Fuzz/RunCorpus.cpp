#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>

extern "C" int LLVMFuzzerTestOneInput( // NOLINT(readability-identifier-naming)
    const std::uint8_t *Data, std::size_t Size);

namespace {

/// Number of mutated copies of each file; the same ones in each run.
constexpr int CopiesPerFile = 300;
constexpr std::size_t MaximumChanges = 6;

void runTarget(const std::string &Text) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size());
}

/// Overwrites, removes or repeats some bytes.
std::string mutate(std::string Text, std::minstd_rand &Random) {
  for (auto Changes = 1 + Random() % MaximumChanges; Changes > 0 && !Text.empty(); --Changes) {
    auto At = Random() % Text.size();
    auto Length = 1 + Random() % 8;
    switch (Random() % 3) {
    case 0:
      Text[At] = static_cast<char>(Random());
      break;
    case 1:
      Text.erase(At, Length);
      break;
    default:
      Text.insert(At, Text.substr(Random() % Text.size(), Length));
    }
  }
  return Text;
}

} // namespace

/// Runs the fuzz target over each file of the given directories, and over mutated copies of it.
int main(int Count, char **Arguments) {
  int Files = 0;
  std::minstd_rand Random;
  for (int Index = 1; Index < Count; ++Index)
    for (const auto &Entry : std::filesystem::directory_iterator(Arguments[Index])) {
      std::ifstream File(Entry.path(), std::ios::binary);
      std::string Text{std::istreambuf_iterator<char>(File), std::istreambuf_iterator<char>()};
      runTarget(Text);
      for (int Copy = 0; Copy < CopiesPerFile; ++Copy)
        runTarget(mutate(Text, Random));
      ++Files;
    }
  std::cout << Files << " files" << std::endl;
  return Files > 0 ? 0 : 1;
}
