#include "standin/load_command.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QJsonObject>
#include <charconv>
#include <cxxopts.hpp>
#include <iostream>
#include <numeric>
#include <string>
#include <vector>

#include "load/load_generator.h"
#include "util/handle.h"
#include "util/qt_clock.h"

namespace guavacross::standin {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;

template <class Number>
bool ParseNumber(const std::string& text, Number* out) {
  const char* const end = text.data() + text.size();
  return std::from_chars(text.data(), end, *out).ptr == end;
}

bool SetClassKey(const std::string& key,
                 const std::string& value,
                 load::LoadClass* load_class) {
  const bool is_true = value == "true";
  if (key == "name") {
    load_class->m_name = value;
  } else if (key == "service") {
    load_class->m_service = value;
  } else if (key == "tenant") {
    load_class->m_tenant = value;
  } else if (key == "method") {
    load_class->m_method = value;
  } else if (key == "target") {
    load_class->m_target = value;
  } else if (key == "key") {
    load_class->m_with_idempotency_key = is_true;
  } else if (key == "rate") {
    return ParseNumber(value, &load_class->m_rate) && load_class->m_rate > 0;
  } else if (key == "body_bytes") {
    return ParseNumber(value, &load_class->m_body_bytes);
  } else if (key == "timeout_ms") {
    std::int64_t milliseconds = 0;
    const bool parsed = ParseNumber(value, &milliseconds);
    load_class->m_timeout = std::chrono::milliseconds(milliseconds);
    return parsed;
  } else {
    return false;
  }
  return true;
}

// Parses `key=value` pairs separated by semicolons.
Result<load::LoadClass> ParseClass(const std::string& text) {
  load::LoadClass load_class;
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = std::min(text.find(';', start), text.size());
    const std::string pair = text.substr(start, end - start);
    const std::size_t equals = pair.find('=');
    if (equals == std::string::npos ||
        !SetClassKey(pair.substr(0, equals), pair.substr(equals + 1),
                     &load_class)) {
      return Fail(ErrorKind::kBadSettings, "--class: invalid entry " + pair);
    }
    start = end + 1;
  }
  if (load_class.m_name.empty()) {
    load_class.m_name = load_class.m_service;
  }
  return load_class;
}

Result<load::LoadPlan> MakePlan(const cxxopts::ParseResult& flags) {
  load::LoadPlan plan;
  for (const auto& text : flags["to"].as<std::vector<std::string>>()) {
    Endpoint endpoint;
    if (!ParseEndpoint(text, &endpoint)) {
      return Fail(ErrorKind::kBadSettings, "--to must be IP:PORT");
    }
    plan.m_endpoints.push_back(endpoint);
  }
  for (const auto& text : flags["class"].as<std::vector<std::string>>()) {
    BOOST_LEAF_AUTO(load_class, ParseClass(text));
    plan.m_classes.push_back(load_class);
  }
  plan.m_direct = flags.count("direct") > 0;
  plan.m_zone = flags["zone"].as<std::string>();
  plan.m_duration = FromSeconds(flags["seconds"].as<double>());
  plan.m_warm_up = FromSeconds(flags["warm-up"].as<double>());
  plan.m_seed = flags["seed"].as<std::uint64_t>();
  return plan;
}

QJsonObject ToJson(const load::ClassResult& result, bool with_outcomes) {
  QJsonObject reasons;
  for (const auto& [reason, count] : result.m_reasons) {
    reasons[QString::fromStdString(reason)] = static_cast<double>(count);
  }
  const double sum = std::accumulate(result.m_latencies_ms.begin(),
                                     result.m_latencies_ms.end(), 0.0);
  const auto counted = static_cast<double>(
      std::max<std::size_t>(result.m_latencies_ms.size(), 1));
  QJsonObject json{
      {"sent", static_cast<double>(result.m_sent)},
      {"answered", static_cast<double>(result.m_answered)},
      {"not_run", static_cast<double>(result.m_not_run)},
      {"unknown", static_cast<double>(result.m_unknown)},
      {"wrong", static_cast<double>(result.m_wrong)},
      {"server_errors", static_cast<double>(result.m_server_errors)},
      {"reasons", reasons},
      {"mean_ms", sum / counted},
      {"p50_ms", result.Percentile(50)},
      {"p90_ms", result.Percentile(90)},
      {"p99_ms", result.Percentile(99)},
      {"p999_ms", result.Percentile(99.9)}};
  if (with_outcomes) {
    QJsonObject outcomes;
    for (const auto& [identity, outcome] : result.m_outcomes) {
      outcomes[QString::fromStdString(identity)] =
          QString::fromStdString(outcome);
    }
    json["outcomes"] = outcomes;
  }
  return json;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "guavacross-standin load",
      "Sends requests at their scheduled times, whether or not earlier ones\n"
      "have been answered, verifies each answer and prints counts and "
      "latencies\nas JSON.");
  options.add_options()(
      "to", "An entry instance, or with --direct a server: IP:PORT; repeated",
      cxxopts::value<std::vector<std::string>>())(
      "direct",
      "Send to the servers in round-robin order, without address queries")(
      "class",
      "A class of requests: name=N;service=S;tenant=T;method=M;target=/PATH;"
      "rate=PER_SECOND;key=true;body_bytes=B;timeout_ms=T; repeated",
      cxxopts::value<std::vector<std::string>>())(
      "zone", "The callers' availability zone",
      cxxopts::value<std::string>()->default_value(""))(
      "seconds", "Duration of the load in seconds",
      cxxopts::value<double>()->default_value("5"))(
      "warm-up", "Initial seconds whose latencies are not recorded",
      cxxopts::value<double>()->default_value("0"))(
      "seed", "Seed of the arrival times and request identities",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "outcomes", "Print the outcome of each request with a key")(
      "h,help", "Print this help");
  return options;
}

int RunPlan(load::LoadPlan plan, bool with_outcomes) {
  QEventLoop loop;
  load::LoadGenerator generator(std::move(plan), util::QtClock(),
                                [&loop] { loop.quit(); });
  generator.Start();
  loop.exec();
  QJsonObject classes;
  for (const auto& [name, result] : generator.results()) {
    classes[QString::fromStdString(name)] = ToJson(result, with_outcomes);
  }
  std::cout << QJsonDocument(QJsonObject{{"classes", classes}})
                   .toJson()
                   .toStdString();
  return kExitOk;
}

}  // namespace

int RunLoadCommand(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return kExitOk;
    }
    const bool complete = flags.count("to") > 0 && flags.count("class") > 0;
    if (!complete) {
      std::cerr << "guavacross-standin load: give --to and --class\n";
      return kExitUsage;
    }
    const auto plan = util::Catch([&] { return MakePlan(flags); });
    if (!plan) {
      std::cerr << "guavacross-standin load: " << plan.m_error.m_text << "\n";
      return kExitUsage;
    }
    return RunPlan(*plan.m_value, flags.count("outcomes") > 0);
  } catch (const cxxopts::exceptions::exception& problem) {
    std::cerr << "guavacross-standin load: " << problem.what() << "\n";
    return kExitUsage;
  }
}

}  // namespace guavacross::standin
