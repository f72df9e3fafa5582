#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

extern "C" int LLVMFuzzerTestOneInput( // NOLINT(readability-identifier-naming)
    const std::uint8_t *Data, std::size_t Size);

/// Runs the fuzz target once over each file of the given directories.
int main(int Count, char **Arguments) {
  int Files = 0;
  for (int Index = 1; Index < Count; ++Index)
    for (const auto &Entry : std::filesystem::directory_iterator(Arguments[Index])) {
      std::ifstream File(Entry.path(), std::ios::binary);
      std::string Text{std::istreambuf_iterator<char>(File), std::istreambuf_iterator<char>()};
      LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size());
      ++Files;
    }
  std::cout << Files << " files" << std::endl;
  return Files > 0 ? 0 : 1;
}
