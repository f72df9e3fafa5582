#include "Tests/Fuzz/JobTarget.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

// Runs the fuzz target over the files of a directory. Guards against parser faults that were found
// before.
int main(int Count, char **Arguments) {
  if (Count != 2)
    return 2;
  int Files = 0;
  for (const auto &Entry : std::filesystem::directory_iterator(Arguments[1])) {
    std::ifstream File(Entry.path(), std::ios::binary);
    std::string Body{std::istreambuf_iterator<char>(File), std::istreambuf_iterator<char>()};
    for (std::size_t Size = 0; Size <= Body.size(); ++Size)
      checkJobParser(std::string_view(Body).substr(0, Size));
    ++Files;
  }
  std::cout << Files << " files" << std::endl;
  return Files > 0 ? 0 : 1;
}
