#include <QCoreApplication>
#include <cxxopts.hpp>
#include <iostream>

#include "ledger/ledger_bench.h"
#include "log_service/config_bench.h"
#include "peers/peers_bench.h"
#include "util/log.h"

// Benchmarks of the state that instances share:
// `guavacross_sharing_bench commit|memory|peers|config`.
int main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  guavacross::util::StartLogging("bench", "error");
  cxxopts::Options options("guavacross_sharing_bench");
  options.add_options()("what", "commit, memory, peers or config",
                        cxxopts::value<std::string>())(
      "sizes",
      "claims per second, keys, instances or sections, separated by commas",
      cxxopts::value<std::vector<int>>())(
      "seconds", "seconds to run at each size",
      cxxopts::value<int>()->default_value("10"));
  options.parse_positional({"what"});
  try {
    const auto flags = options.parse(argc, argv);
    const auto what = flags["what"].as<std::string>();
    const auto sizes = flags["sizes"].as<std::vector<int>>();
    const int seconds = flags["seconds"].as<int>();
    if (what == "commit") {
      guavacross::ledger::RunGroupCommitBench(sizes, seconds, std::cout);
    } else if (what == "memory") {
      guavacross::ledger::RunLedgerMemoryBench(sizes, std::cout);
    } else if (what == "peers") {
      guavacross::peers::RunPeersBench(sizes, seconds, std::cout);
    } else if (what == "config") {
      guavacross::log_service::RunConfigBench(sizes, std::cout);
    } else {
      std::cerr << options.help();
      return 2;
    }
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "\n" << options.help();
    return 2;
  }
  return 0;
}
