#pragma once

#include <chrono>
#include <iosfwd>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cornellift::operators {

/// One line of an entry process's log.
struct LogLine {
  std::chrono::milliseconds At{0}; ///< Time of the decision, since 1970.
  std::string Vm;
  std::string Message;
  std::map<std::string, std::string> Fields;
};

/// Reconstructs the history of one job from the logs of several VMs: the lines that name the job,
/// and between them the state changes of its workers, the peers, the store and the configuration.
class Explanation {
public:
  explicit Explanation(std::string Job) : Job_(std::move(Job)) {}

  /// Reads all lines of one log. A line may have text before its JSON object; the last word of that
  /// text is the VM's name. Otherwise the name comes from the log's first line, or is Name.
  void read(std::istream &Log, std::string_view Name);

  /// Returns whether any line names the job.
  bool hasJobLines() const { return !JobLines_.empty(); }
  /// Number of lines that could not be parsed.
  std::size_t unparsedLineCount() const { return UnparsedLineCount_; }

  /// Renders one line of text per log line, in order of time.
  std::string render() const;

private:
  void add(LogLine Line);
  std::vector<const LogLine *> selectLines() const;
  std::set<std::string> workersOfJob() const;

  std::string Job_;
  std::vector<LogLine> JobLines_;
  std::vector<LogLine> ContextLines_;
  std::size_t UnparsedLineCount_ = 0;
};

} // namespace cornellift::operators
