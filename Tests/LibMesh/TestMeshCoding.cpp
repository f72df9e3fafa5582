#include "Kernel/Pool/SubmittedJob.h"
#include "Libraries/LibMesh/MeshCoding.h"

#include <cstdint>
#include <limits>

#include <boost/test/unit_test.hpp>

using namespace cornellift;

namespace {

/// An order whose steps have these numbers of tasks.
void addSteps(mesh::Order &Out, std::initializer_list<std::uint32_t> Counts) {
  Out.set_job(7);
  for (auto Count : Counts)
    Out.add_steps()->set_count(Count);
}

bool canSubmit(std::initializer_list<std::uint32_t> Counts) {
  mesh::Frame Message;
  addSteps(*Message.mutable_submit(), Counts);
  return mesh::decode(Message, {}).has_value();
}

bool canDelegate(std::initializer_list<std::uint32_t> Counts) {
  mesh::Frame Message;
  addSteps(*Message.mutable_delegate()->mutable_order(), Counts);
  return mesh::decode(Message, {}).has_value();
}

} // namespace

// Guards against a manager that ends because a peer's message has steps with billions of tasks: it
// allocates memory for each task.
BOOST_AUTO_TEST_CASE(AnOrderBeyondTheLimitsOfAJobIsNotDecoded) {
  constexpr auto Largest = std::numeric_limits<std::uint32_t>::max();
  for (auto CanDecode : {canSubmit, canDelegate}) {
    BOOST_TEST(CanDecode({3, 4}));
    BOOST_TEST(CanDecode({static_cast<std::uint32_t>(kernel::MaximumJobTasks)}));
    BOOST_TEST(!CanDecode({Largest}));
    BOOST_TEST(!CanDecode({Largest, 2})); // The sum of 32 bits would be small.
    BOOST_TEST(!CanDecode({}));
  }
}

// Guards against a step that waits for itself or for one that does not exist.
BOOST_AUTO_TEST_CASE(AnOrderWhoseStepsAreOutOfOrderIsNotDecoded) {
  mesh::Frame Message;
  addSteps(*Message.mutable_submit(), {1, 1});
  Message.mutable_submit()->mutable_steps(0)->add_after(5);
  BOOST_TEST(!mesh::decode(Message, {}).has_value());
}
