// Measures the router's time and memory, and compares policies in a simulation.
//
// Usage: guavacross_routing_bench costs | model [SEED] | ablate [SEED]

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "guavacross/routing.h"
#include "routing/testing/pool_model.h"
#include "util/qt_clock.h"

namespace guavacross::routing {

namespace {

using testing::ModelFault;
using testing::ModelOptions;
using testing::ModelResult;

constexpr int kRounds = 200000;
constexpr int kServices = 5100;
constexpr int kTicks = 1000;

ServiceConfig MakeService(const std::string& name, int targets) {
  ServiceConfig config;
  config.m_name = name;
  for (int i = 0; i < targets; ++i) {
    config.m_targets.push_back(
        {.m_name = name + "-" + std::to_string(i),
         .m_address = {.m_ip = "127.0.0.1",
                       .m_port = static_cast<std::uint16_t>(10000 + i)},
         .m_zone = "zone-" + std::to_string(i % 4)});
  }
  config.m_classes = {{.m_name = "preview", .m_hedge = true},
                      {.m_name = "order", .m_repeatable = false}};
  return config;
}

std::size_t AllocatedBytes() {
  return mallinfo2().uordblks + mallinfo2().hblkhd;
}

double NanosecondsSince(std::chrono::steady_clock::time_point start, int n) {
  const std::chrono::duration<double, std::nano> passed =
      std::chrono::steady_clock::now() - start;
  return passed.count() / n;
}

// Returns the time in ns of one `Acquire` and `Release` while `held` slots are
// in use.
double MeasureRequest(Router* router, const std::string& service, int held) {
  const RequestTraits traits{
      .m_service = service, .m_class_name = "preview", .m_tenant = "t"};
  std::vector<Grant> grants;
  const auto keep = [&grants](const util::Expected<Grant>& grant) {
    if (grant) {
      grants.push_back(*grant.m_value);
    }
  };
  for (int i = 0; i < held; ++i) {
    router->Acquire(traits, {}, keep);
  }
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    router->Acquire(traits, {}, keep);
    const Grant grant = grants.back();
    grants.pop_back();
    router->Release(grant, traits,
                    {.m_latency = std::chrono::milliseconds(10),
                     .m_load = {.m_in_flight = 1}});
  }
  const double ns = NanosecondsSince(start, kRounds);
  for (const Grant& grant : grants) {
    router->Release(grant, traits, {});
  }
  return ns;
}

void PrintCosts() {
  const RouterOptions options{.m_seed = 1, .m_clock = util::QtClock()};
  for (const int targets : {8, 38}) {
    Router router(options, {});
    router.Configure(MakeService("service", targets));
    for (const int held : {0, targets * 2, targets * 4 - 1}) {
      std::printf("acquire+release: targets=%d held=%d ns=%.0f\n", targets,
                  held, MeasureRequest(&router, "service", held));
    }
  }
  Router router(options, {});
  for (const int targets : {1, 5, 10}) {
    Router measured(options, {});
    const std::size_t before = AllocatedBytes();
    for (int i = 0; i < kServices; ++i) {
      measured.Configure(MakeService("s" + std::to_string(i), targets));
    }
    std::printf("memory: services=%d targets_each=%d bytes_per_service=%zu\n",
                kServices, targets, (AllocatedBytes() - before) / kServices);
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kTicks; ++i) {
      measured.ExpireWaiters();
      measured.TakeDueProbes();
    }
    std::printf("idle tick: services=%d ns=%.0f\n", kServices,
                NanosecondsSince(start, kTicks));
    std::printf("acquire+release among them: ns=%.0f\n",
                MeasureRequest(&measured, "s77", 0));
  }
}

void PrintRow(const char* name, const ModelOptions& options) {
  const ModelResult result = testing::RunModel(options);
  std::printf(
      "%-24s load=%.1f p50=%6.1f p99=%7.1f p99.9=%7.1f goodput=%.3f "
      "refused=%llu failed=%llu retries=%llu hedges=%llu peak=%d "
      "probes=%llu/%.0f to_draining=%llu\n",
      name, options.m_load, result.Percentile(50), result.Percentile(99),
      result.Percentile(99.9), result.m_goodput,
      static_cast<unsigned long long>(result.m_refused),
      static_cast<unsigned long long>(result.m_failed),
      static_cast<unsigned long long>(result.m_retries),
      static_cast<unsigned long long>(result.m_hedges), result.m_peak_in_flight,
      static_cast<unsigned long long>(result.m_probes), result.m_probes_allowed,
      static_cast<unsigned long long>(result.m_sent_to_draining));
}

std::vector<std::pair<const char*, ModelFault>> Faults() {
  return {{"none", ModelFault::kNone},
          {"straggler", ModelFault::kStraggler},
          {"fail-fast", ModelFault::kFailFast},
          {"draining", ModelFault::kDraining},
          {"noisy", ModelFault::kNoisyNeighbours},
          {"lost-third", ModelFault::kLostCapacity},
          {"cold-restart", ModelFault::kColdRestart}};
}

// Runs the simulation with each mechanism switched off in turn.
void PrintAblation(std::uint64_t seed) {
  const std::vector<std::pair<const char*, std::set<Mechanism>>> cases = {
      {"whole", {}},
      {"no-readings", {Mechanism::kReadings}},
      {"no-slowness", {Mechanism::kSlowness}},
      {"no-slow-start", {Mechanism::kSlowStart}},
      {"no-slot-shares", {Mechanism::kSlotShares}},
      {"no-hedging", {Mechanism::kHedging}},
      {"no-ejection", {Mechanism::kEjection}},
      {"no-fair-queue", {Mechanism::kFairQueue}},
      {"no-early-refusal", {Mechanism::kEarlyRefusal}},
      {"no-probes", {Mechanism::kProbes}}};
  std::printf("model, seed %llu\n", static_cast<unsigned long long>(seed));
  for (const int targets : {30, 8}) {
    for (const auto& [fault_name, fault] : Faults()) {
      std::printf("-- targets=%d fault=%s\n", targets, fault_name);
      for (const auto& [name, disabled] : cases) {
        PrintRow(name, {.m_targets = targets,
                        .m_disabled = disabled,
                        .m_fault = fault,
                        .m_seed = seed});
      }
    }
  }
}

void PrintModel(std::uint64_t seed) {
  const std::vector<std::pair<const char*, ModelFault>> faults = Faults();
  const std::vector<std::pair<const char*, ChoicePolicy>> policies = {
      {"guavacross", ChoicePolicy::kGuavacross},
      {"random", ChoicePolicy::kRandom},
      {"round-robin", ChoicePolicy::kRoundRobin},
      {"least-in-flight", ChoicePolicy::kLeastInFlight}};
  std::printf("model, seed %llu\n", static_cast<unsigned long long>(seed));
  for (const int targets : {30, 8}) {
    for (const auto& [fault_name, fault] : faults) {
      for (const double load : {0.5, 0.7, 0.9, 1.1}) {
        if (fault != ModelFault::kNone && load != 0.9) {
          continue;
        }
        std::printf("-- targets=%d fault=%s\n", targets, fault_name);
        for (const auto& [name, policy] : policies) {
          PrintRow(name, {.m_targets = targets,
                          .m_load = load,
                          .m_policy = policy,
                          .m_fault = fault,
                          .m_seed = seed});
        }
      }
    }
  }
}

}  // namespace

}  // namespace guavacross::routing

int main(int argc, char** argv) {
  const std::string mode = argc > 1 ? argv[1] : "";
  if (mode == "costs") {
    guavacross::routing::PrintCosts();
    return 0;
  }
  const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  if (mode == "model") {
    guavacross::routing::PrintModel(seed);
    return 0;
  }
  if (mode == "ablate") {
    guavacross::routing::PrintAblation(seed);
    return 0;
  }
  std::fprintf(
      stderr,
      "usage: guavacross_routing_bench costs | model [SEED] | ablate [SEED]\n");
  return 2;
}
