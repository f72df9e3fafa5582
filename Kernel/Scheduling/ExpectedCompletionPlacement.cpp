#include "Kernel/Scheduling/PlacementPolicy.h"

#include <algorithm>
#include <limits>

namespace cornellift::kernel {
namespace {

/// Share of the run time that a wait has to gain. Speeds in neighbouring buckets may be equal or
/// differ by two widths of a bucket, which are 9%, and are learned to a few percent.
constexpr double SmallestGain = 0.08;

/// Takes the fastest free endpoint that fits, unless waiting for a faster slot is expected to end
/// sooner by SmallestGain and the job would end later because of the slow one.
class ExpectedCompletionPlacement final : public PlacementPolicy {
public:
  explicit ExpectedCompletionPlacement(std::uint64_t /*Seed*/) {}

  std::optional<EndpointIndex> choose(const PlacementRequest &Request,
                                      const EndpointTable &Endpoints) override {
    std::optional<EndpointIndex> Fastest;
    Endpoints.visitFree(Request.Service, [&](EndpointIndex Endpoint) {
      if (!Request.accepts(Endpoints.at(Endpoint)))
        return false;
      Fastest = Endpoint;
      return true;
    });
    if (!Fastest)
      return std::nullopt;
    auto Bucket = Endpoints.at(*Fastest).Bucket;
    double End = Request.RunTime / EndpointTable::bucketSpeed(Bucket);
    if (End * (1 - SmallestGain) <=
        std::max(Request.Slack, endAfterWaiting(Request, Endpoints, Bucket)))
      return Fastest;
    return std::nullopt;
  }

private:
  /// Earliest expected end when waiting for a slot of one of the buckets before Bucket.
  static double endAfterWaiting(const PlacementRequest &Request, const EndpointTable &Endpoints,
                                std::uint32_t Bucket) {
    double Best = std::numeric_limits<double>::infinity();
    double EndsPerMillisecond = 0;
    Endpoints.visitBusy(Request.Service, Bucket, [&](std::uint32_t Faster, std::uint32_t Busy) {
      double Speed = EndpointTable::bucketSpeed(Faster);
      EndsPerMillisecond += Busy * Speed / std::max(1.0, Request.MeanRunTime);
      Best =
          std::min(Best, (Request.TasksAhead + 1) / EndsPerMillisecond + Request.RunTime / Speed);
    });
    return Best;
  }
};

const PlacementRegistration<ExpectedCompletionPlacement> Registered("expected-completion");

} // namespace
} // namespace cornellift::kernel
