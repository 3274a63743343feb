#ifndef GUAVACROSS_ROUTING_TESTING_POOL_MODEL_H_
#define GUAVACROSS_ROUTING_TESTING_POOL_MODEL_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "guavacross/routing.h"

/// A model of one service's backend servers in simulated time, to try a policy
/// on without processes: a fake at the interface of `Router`.
///
/// Each target runs up to its slots at once, for exponential times, and keeps
/// the rest in a queue.
/// Requests arrive as a Poisson process at instances chosen at random; messages
/// take a fixed time. The model says how decisions compare, not how the running
/// system behaves: that is measured by `scripts/experiment`.
namespace guavacross::routing::testing {

/// What goes wrong while the model runs.
enum class ModelFault {
  kNone,
  /// At any time one target, another every 2 s, is 10 times slower.
  kStraggler,
  /// One target fails each request at once.
  kFailFast,
  /// One target says on its answers that it drains, and serves on.
  kDraining,
  /// Half of the targets change between 1 and 1.5 times the usual time.
  kNoisyNeighbours,
  /// A third of the targets refuse connections after a third of the run.
  kLostCapacity,
  /// A third of the targets restart cold: 5 times slower for 2 s.
  kColdRestart,
};

struct ModelOptions {
  int m_targets = 30;
  int m_slots = 4;
  int m_instances = 6;
  /// Part of the targets' capacity that is asked for.
  double m_load = 0.9;
  Duration m_mean_service_time = std::chrono::milliseconds(12);
  Duration m_message_time = std::chrono::microseconds(500);
  Duration m_length = std::chrono::seconds(10);
  /// Part of the requests that come to the first instance; the others share the
  /// rest. Zero: all have the same part.
  double m_first_instance_share = 0;
  Profile m_profile = Profile::kTailFirst;
  ChoicePolicy m_policy = ChoicePolicy::kGuavacross;
  std::set<Mechanism> m_disabled;
  ModelFault m_fault = ModelFault::kNone;
  std::uint64_t m_seed = 1;
};

struct ModelResult {
  std::uint64_t m_requests = 0;
  std::uint64_t m_answered = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_hedges = 0;
  std::uint64_t m_probes = 0;
  double m_probes_allowed = 0;
  /// The most attempts that were on one target at one time.
  int m_peak_in_flight = 0;
  /// Attempts sent to the draining target later than 100 ms after an answer
  /// first told of it.
  std::uint64_t m_sent_to_draining = 0;
  /// Requests answered within the run over what the targets could answer.
  double m_goodput = 0;
  std::vector<double> m_latencies_ms;

  /// The given percentile, 0 to 100, of the sorted latencies.
  double Percentile(double percentile) const;
};

/// Runs the model. The same options give the same result.
ModelResult RunModel(const ModelOptions& options);

}  // namespace guavacross::routing::testing

#endif  // GUAVACROSS_ROUTING_TESTING_POOL_MODEL_H_
