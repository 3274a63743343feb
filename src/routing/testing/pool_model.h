#ifndef GUAVACROSS_ROUTING_TESTING_POOL_MODEL_H_
#define GUAVACROSS_ROUTING_TESTING_POOL_MODEL_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "guavacross/routing.h"

/// A discrete-event simulation of one service's instances and backend servers.
/// It drives real `Router` objects in simulated time, without processes.
///
/// Each target runs as many requests at once as it has slots, with exponential
/// service times, and queues the rest. Requests arrive as a Poisson process at
/// randomly chosen instances; messages take a fixed time. The simulation
/// compares policies. It doesn't predict the running system, which
/// `scripts/experiment` measures.
namespace guavacross::routing::testing {

/// The fault injected during a simulation.
enum class ModelFault {
  kNone,
  /// One target at a time is 10 times slower; a new one is chosen every 2 s.
  kStraggler,
  /// One target answers each request at once with a server error.
  kFailFast,
  /// One target reports on its answers that it is draining, and keeps serving.
  kDraining,
  /// The service time of half of the targets varies between 1 and 1.5 times the
  /// normal one.
  kNoisyNeighbours,
  /// A third of the targets crash after 2 s: they reset their attempts and
  /// refuse connections from then on.
  kLostCapacity,
  /// A third of the targets restart cold: 5 times slower for 2 s.
  kColdRestart,
};

struct ModelOptions {
  int m_targets = 30;
  int m_slots = 4;
  int m_instances = 6;
  /// Offered load, as a share of the targets' capacity.
  double m_load = 0.9;
  Duration m_mean_service_time = std::chrono::milliseconds(12);
  Duration m_message_delay = std::chrono::microseconds(500);
  Duration m_duration = std::chrono::seconds(10);
  /// Share of the requests that are sent to the first instance, 0 to 1. The
  /// rest go to randomly chosen instances, the first included; with 0, all
  /// instances get equal shares.
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
  /// Largest number of attempts in flight on any target.
  int m_peak_in_flight = 0;
  /// Attempts sent to the draining target more than 100 ms after an answer
  /// first reported the draining.
  std::uint64_t m_sent_to_draining = 0;
  /// Requests answered during the simulation, as a share of the targets'
  /// capacity.
  double m_goodput = 0;
  std::vector<double> m_latencies_ms;

  /// The given percentile, 0 to 100, of the sorted latencies.
  double Percentile(double percentile) const;
};

/// Runs a simulation. It is deterministic: equal options give equal results.
ModelResult RunModel(const ModelOptions& options);

}  // namespace guavacross::routing::testing

#endif  // GUAVACROSS_ROUTING_TESTING_POOL_MODEL_H_
