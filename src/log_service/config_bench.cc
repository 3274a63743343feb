#include "log_service/config_bench.h"

#include <QByteArray>
#include <cstdint>
#include <iomanip>
#include <string>

#include "guavacross/config_state.h"
#include "guavacross/document.h"
#include "log_service/config_reader.h"
#include "log_service/fake_log.h"
#include "log_service/http_log_access.h"
#include "log_service/snapshot_parts.h"
#include "util/handle.h"
#include "util/manual_clock.h"
#include "util/process_usage.h"

namespace guavacross::log_service {

namespace {

constexpr int kTargetsPer100Sections = 549;
constexpr int kZones = 16;
constexpr double kKilobyte = 1024;

std::string Quoted(const std::string& key, const std::string& value) {
  return key + " = \"" + value + "\"\n";
}

std::string TargetText(int section, int target) {
  const std::string number = std::to_string(target);
  const std::string host = std::to_string(section % 250) + "." + number;
  return "[[target]]\n" + Quoted("name", "target-" + number) +
         Quoted("address",
                "10." + std::to_string(section / 250) + "." + host + ":8080") +
         Quoted("zone", "zone-" + std::to_string(target % kZones)) +
         "slots = 4\n";
}

// Makes a section with its share of the targets, three classes and two tenants.
ConfigEdit MakeSectionEdit(int index) {
  const int targets = (index + 1) * kTargetsPer100Sections / 100 -
                      index * kTargetsPer100Sections / 100;
  std::string toml = Quoted("team", "team-" + std::to_string(index % 100));
  for (int target = 0; target < targets; ++target) {
    toml += TargetText(index, target);
  }
  toml +=
      "[[class]]\nname = \"reads\"\nmethods = [\"GET\"]\nhedge = true\n"
      "deadline_ms = 1500\nqueue_wait_ms = 200\n"
      "[[class]]\nname = \"orders\"\nmethods = [\"POST\"]\n"
      "path_prefix = \"/orders\"\nrepeatable = false\n"
      "[[class]]\nname = \"rest\"\nrepeatable = false\n"
      "[[tenant]]\nname = \"one\"\nweight = 2\n"
      "[[tenant]]\nname = \"two\"\n"
      "[probe]\nprobes_per_second = 20\ntime_share = 0.01\n";
  const std::string name = "service-" + std::to_string(index);
  return {.m_schema = kDocumentSchema,
          .m_section = name,
          .m_team = "team-" + std::to_string(index % 100),
          .m_edit_id = "edit-" + std::to_string(index),
          .m_toml = toml};
}

// Returns the body of a read response that holds `records`.
std::string ReadResponseBody(const std::vector<std::string>& records) {
  std::string body =
      "{\"first\": 0, \"end\": " + std::to_string(records.size()) +
      ", \"records\": [";
  for (std::size_t i = 0; i < records.size(); ++i) {
    body += std::string(i == 0 ? "" : ",") +
            "{\"offset\": " + std::to_string(i) + ", \"data\": \"" +
            QByteArray::fromStdString(records[i]).toBase64().toStdString() +
            "\"}";
  }
  return body + "]}";
}

// Results for one number of sections.
struct Measurements {
  int m_sections = 0;
  std::size_t m_targets = 0;
  double m_parse_s = 0;
  double m_fold_s = 0;
  double m_fold_bytes = 0;
  double m_parsed_bytes = 0;
  double m_snapshot_bytes = 0;
  double m_encode_s = 0;
  double m_response_decode_s = 0;
  double m_start_s = 0;
  double m_reader_bytes = 0;
};

void MeasureParsing(const std::vector<ConfigEdit>& edits,
                    Measurements* measurements) {
  std::vector<ServiceConfig> services;
  services.reserve(edits.size());
  const double bytes_before = util::PrivateBytes();
  const double start = util::ProcessorSeconds();
  for (const ConfigEdit& edit : edits) {
    const auto service = util::Catch(
        [&edit] { return ParseSection(edit.m_section, edit.m_toml); });
    measurements->m_targets += service.m_value->m_targets.size();
    services.push_back(*service.m_value);
  }
  measurements->m_parse_s = util::ProcessorSeconds() - start;
  measurements->m_parsed_bytes = util::PrivateBytes() - bytes_before;
}

ConfigFold MeasureFold(const std::vector<ConfigEdit>& edits,
                       Measurements* measurements) {
  ConfigFold fold;
  const double bytes_before = util::PrivateBytes();
  const double start = util::ProcessorSeconds();
  for (std::size_t i = 0; i < edits.size(); ++i) {
    fold.Apply(i, EncodeEdit(edits[i]));
  }
  measurements->m_fold_s = util::ProcessorSeconds() - start;
  measurements->m_fold_bytes = util::PrivateBytes() - bytes_before;
  return fold;
}

void MeasureSnapshot(const ConfigFold& fold,
                     FakeLog* log,
                     Measurements* measurements) {
  const double start = util::ProcessorSeconds();
  const auto parts = EncodeParts(fold.state(), 0);
  measurements->m_encode_s = util::ProcessorSeconds() - start;
  for (const std::string& part : parts) {
    log->Append(kSnapshotStream, part);
    measurements->m_snapshot_bytes += static_cast<double>(part.size());
  }
  const std::string body = ReadResponseBody(parts);
  const double decode_start = util::ProcessorSeconds();
  const auto batch = util::Catch([&body] { return ParseBatch(body); });
  measurements->m_response_decode_s = util::ProcessorSeconds() - decode_start;
}

// Measures a start without state: loads the snapshot, parses each section and
// ends when the reader is ready.
void MeasureStart(util::ManualClock* clock,
                  FakeLog* log,
                  Measurements* measurements) {
  util::Metrics metrics;
  const double bytes_before = util::PrivateBytes();
  const double start = util::ProcessorSeconds();
  ConfigReader reader({}, log->access(), clock->clock(), metrics,
                      {.m_on_change = [](const SectionState& section) {
                        ServiceInForce(section);
                      }});
  reader.Start();
  while (!reader.ready()) {
    clock->Advance(std::chrono::milliseconds(1));
  }
  measurements->m_start_s = util::ProcessorSeconds() - start;
  measurements->m_reader_bytes = util::PrivateBytes() - bytes_before;
}

Measurements Measure(int section_count) {
  Measurements measurements{.m_sections = section_count};
  std::vector<ConfigEdit> edits;
  for (int i = 0; i < section_count; ++i) {
    edits.push_back(MakeSectionEdit(i));
  }
  MeasureParsing(edits, &measurements);
  const ConfigFold fold = MeasureFold(edits, &measurements);
  util::ManualClock clock;
  FakeLog log(clock.clock());
  log.Expire(kConfigStream, 0);
  for (int i = 0; i < section_count; ++i) {
    log.Append(kConfigStream, "");
  }
  MeasureSnapshot(fold, &log, &measurements);
  MeasureStart(&clock, &log, &measurements);
  return measurements;
}

void Print(const Measurements& measurements, std::ostream& out) {
  constexpr double microseconds = 1e6;
  constexpr double milliseconds = 1e3;
  const double sections = measurements.m_sections;
  out << std::setw(8) << measurements.m_sections << std::setw(8)
      << measurements.m_targets << std::fixed << std::setprecision(1)
      << std::setw(12) << measurements.m_parse_s / sections * microseconds
      << std::setw(12) << measurements.m_fold_s / sections * microseconds
      << std::setw(12) << measurements.m_fold_bytes / sections << std::setw(12)
      << measurements.m_parsed_bytes / sections << std::setw(12)
      << measurements.m_reader_bytes / sections << std::setw(12)
      << measurements.m_snapshot_bytes / kKilobyte << std::setw(12)
      << measurements.m_encode_s * milliseconds << std::setw(12)
      << measurements.m_response_decode_s * milliseconds << std::setw(12)
      << measurements.m_start_s * milliseconds << "\n";
}

}  // namespace

void RunConfigBench(const std::vector<int>& section_counts, std::ostream& out) {
  out << "CPU time; private bytes from /proc/self/smaps_rollup\n";
  for (const char* heading : {"sections", "targets"}) {
    out << std::setw(8) << heading;
  }
  for (const char* heading :
       {"parse us/s", "fold us/s", "fold B/s", "parsed B/s", "reader B/s",
        "snapshot KB", "encode ms", "decode ms", "start ms"}) {
    out << std::setw(12) << heading;
  }
  out << "\n";
  for (const int count : section_counts) {
    Print(Measure(count), out);
  }
  out << "us/s and B/s: microseconds and bytes per section. reader: fold and "
         "sections in force after a start. decode: decoding the JSON response "
         "of the log service. start: from start to ready from a snapshot, "
         "JSON decoding excluded.\n";
}

}  // namespace guavacross::log_service
