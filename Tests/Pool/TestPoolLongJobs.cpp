#include "Tests/Pool/PoolSimulation.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace cornellift;
using namespace std::chrono_literals;

namespace {

std::size_t endsOf(test::PoolSimulation &Simulation, kernel::RunEnd How) {
  std::size_t Count = 0;
  for (std::size_t Worker = 0; Worker < Simulation.workerCount(); ++Worker)
    for (const auto &Run : Simulation.worker(Worker).history())
      Count += Run.EndedAt && Run.How == How ? 1 : 0;
  return Count;
}

} // namespace

// Guards against leases that lapse without a fault: the poll of a worker with an overdue run was
// replaced before its reply could arrive, for as long as the run lasted, so that the worker counted
// as silent.
BOOST_AUTO_TEST_CASE(NoLeaseLapsesBecauseTasksTakeLongerThanDeclared) {
  test::PoolSimulation Simulation({});
  Simulation.run(2s);
  for (int Job = 0; Job < 40; ++Job) {
    Simulation.submit(2, 1500, "", 1, 150);
    Simulation.run(150ms);
  }
  Simulation.run(6s);
  BOOST_TEST(endsOf(Simulation, kernel::RunEnd::Lapsed) == 0U);
}
