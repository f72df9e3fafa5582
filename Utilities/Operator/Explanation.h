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
  std::chrono::milliseconds At{0}; ///< Since 1970; when the decision was taken.
  std::string Vm;
  std::string Message;
  std::map<std::string, std::string> Fields;
};

/// Tells the way of one request from the logs of several VMs: the lines on its job, and between
/// them what the processes learned of its workers, of each other, the store and the configuration.
class Explanation {
public:
  explicit Explanation(std::string Job) : Job_(std::move(Job)) {}

  /// Reads all lines of one log; text before the JSON object of a line is allowed, and its last
  /// word is taken as the VM's name. Otherwise the name is that of the log's first line, or Name.
  void read(std::istream &Log, std::string_view Name);

  /// Whether any line is on the job.
  bool hasJobLines() const { return !JobLines_.empty(); }
  /// Lines that could not be understood.
  std::size_t unparsedLineCount() const { return UnparsedLineCount_; }

  /// One line of text a decision, in order of time.
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
