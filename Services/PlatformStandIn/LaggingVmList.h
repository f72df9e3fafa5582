#pragma once

#include "Libraries/LibCore/Time.h"

#include <deque>
#include <mutex>
#include <string>

namespace cornellift::standin {

/// The platform's list of VMs as JSON text. A new list becomes visible after the lag. Thread-safe.
class LaggingVmList {
public:
  void set(std::string ListText);
  void setLag(core::Duration Lag);
  std::string visible();

private:
  struct Change {
    core::TimePoint When;
    std::string ListText;
  };

  std::mutex Mutex_;
  std::deque<Change> Pending_;
  std::string Visible_ = R"({"vms":[]})";
  core::Duration Lag_{0};
};

} // namespace cornellift::standin
