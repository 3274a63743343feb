// Bounds that must hold in the simulated service under every fault.

#include <iostream>

#include "routing/testing/pool_model.h"
#include "util/test_case.h"

namespace guavacross::routing::testing {

namespace {

constexpr std::uint64_t kSeed = 7;

ModelResult Run(int targets, double load, ModelFault fault) {
  return RunModel({.m_targets = targets,
                   .m_load = load,
                   .m_duration = std::chrono::seconds(4),
                   .m_fault = fault,
                   .m_seed = kSeed});
}

}  // namespace

GUAVACROSS_TEST_CASE(ModelBounds) {
  using util::Section;
  std::cout << " (seed " << kSeed << ")";
  const std::vector<std::pair<std::string, ModelFault>> faults = {
      {"no fault", ModelFault::kNone},
      {"a straggler", ModelFault::kStraggler},
      {"a target that fails fast", ModelFault::kFailFast},
      {"a draining target", ModelFault::kDraining},
      {"noisy neighbours", ModelFault::kNoisyNeighbours},
      {"a third of the targets lost", ModelFault::kLostCapacity},
      {"a cold restart", ModelFault::kColdRestart}};
  for (const auto& [name, fault] : faults) {
    Section("with " + name, [fault = fault] {
      const ModelResult result = Run(8, 0.9, fault);
      Section(
          "no target has more attempts than its slots plus one per instance",
          [&] { CPPUNIT_ASSERT(result.m_peak_in_flight <= 4 + 6); });
      Section("probes stay within their budget", [&] {
        CPPUNIT_ASSERT(static_cast<double>(result.m_probes) <=
                       result.m_probes_allowed + 6);
      });
      Section("retries and hedges stay within a tenth of the requests", [&] {
        CPPUNIT_ASSERT(10 * (result.m_retries + result.m_hedges) <=
                       result.m_requests);
      });
      Section("a draining target gets no new attempts",
              [&] { CPPUNIT_ASSERT(result.m_sent_to_draining == 0); });
    });
  }
}

GUAVACROSS_TEST_CASE(ModelGoodputAndTail) {
  using util::Section;
  Section("an overloaded pool keeps serving at its capacity", [] {
    const ModelResult result = Run(30, 1.1, ModelFault::kNone);
    CPPUNIT_ASSERT(result.m_goodput >= 0.95);
    CPPUNIT_ASSERT(result.m_refused > 0);
  });
  Section(
      "with a straggler in a small pool, the p99 latency is at most half that "
      "of least-in-flight and a third that of round robin",
      [] {
        ModelOptions options{
            .m_targets = 8, .m_fault = ModelFault::kStraggler, .m_seed = kSeed};
        const double own = RunModel(options).Percentile(99);
        options.m_policy = ChoicePolicy::kLeastInFlight;
        CPPUNIT_ASSERT(own <= RunModel(options).Percentile(99) / 2);
        options.m_policy = ChoicePolicy::kRoundRobin;
        CPPUNIT_ASSERT(own <= RunModel(options).Percentile(99) / 3);
      });
  Section("an instance that receives all requests uses the whole pool", [] {
    for (const int targets : {8, 30}) {
      const ModelResult result = RunModel({.m_targets = targets,
                                           .m_load = 0.9,
                                           .m_first_instance_share = 1,
                                           .m_seed = kSeed});
      CPPUNIT_ASSERT(result.m_goodput >= 0.85);
      CPPUNIT_ASSERT(result.m_peak_in_flight <= 10);
    }
  });
  Section("a target that fails fast gets few requests", [] {
    const ModelResult result = Run(30, 0.7, ModelFault::kFailFast);
    CPPUNIT_ASSERT(result.m_retries * 100 < result.m_requests);
  });
}

}  // namespace guavacross::routing::testing
