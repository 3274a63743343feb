#include "standin/example.h"

#include <sstream>
#include <utility>

namespace guavacross::standin {

namespace {

using Kind = ServiceTime::Kind;

// Requests that are safe to repeat and to hedge.
ExampleClass MakeReadClass(std::string name, std::string path, double mean_ms) {
  return {.m_name = std::move(name),
          .m_method = "GET",
          .m_path_prefix = path,
          .m_hedge = true,
          .m_service_time = {.m_path_prefix = path,
                             .m_kind = Kind::kExponential,
                             .m_mean_ms = mean_ms}};
}

// Requests that must run at most once.
ExampleClass MakeNonRepeatableClass(std::string name,
                                    std::string path,
                                    double mean_ms,
                                    int deadline_ms) {
  return {.m_name = std::move(name),
          .m_method = "POST",
          .m_path_prefix = path,
          .m_repeatable = false,
          .m_deadline_ms = deadline_ms,
          .m_queue_wait_ms = deadline_ms / 2,
          .m_service_time = {.m_path_prefix = path,
                             .m_kind = Kind::kExponential,
                             .m_mean_ms = mean_ms}};
}

ExampleClass MakeDownloadClass(std::string name, std::string path) {
  return {.m_name = std::move(name),
          .m_method = "GET",
          .m_path_prefix = path,
          .m_bulk = true,
          .m_deadline_ms = 10000,
          .m_queue_wait_ms = 5000,
          .m_service_time = {
              .m_path_prefix = path, .m_kind = Kind::kFixed, .m_mean_ms = 2}};
}

void WriteClass(const std::string& service,
                const ExampleClass& entry,
                std::ostream& out) {
  out << "\n[[section." << service << ".class]]\n"
      << "name = \"" << entry.m_name << "\"\n"
      << "methods = [\"" << entry.m_method << "\"]\n"
      << "path_prefix = \"" << entry.m_path_prefix << "\"\n"
      << "repeatable = " << (entry.m_repeatable ? "true" : "false") << "\n"
      << "hedge = " << (entry.m_hedge ? "true" : "false") << "\n"
      << "bulk = " << (entry.m_bulk ? "true" : "false") << "\n"
      << "deadline_ms = " << entry.m_deadline_ms << "\n"
      << "queue_wait_ms = " << entry.m_queue_wait_ms << "\n";
}

void WriteTarget(const ExampleTarget& target, std::ostream& out) {
  out << "\n[[section." << target.m_service << ".target]]\n"
      << "name = \"" << target.m_name << "\"\n"
      << "address = \"" << ToString(target.m_address) << "\"\n"
      << "zone = \"" << target.m_zone << "\"\n"
      << "slots = 4\n";
}

void WriteSection(const Example& example,
                  const ExampleService& service,
                  const std::vector<ExampleTarget>& targets,
                  std::ostream& out) {
  out << "\n[section." << service.m_name << "]\n"
      << "team = \"" << service.m_team << "\"\n"
      << "profile = \"" << service.m_profile << "\"\n";
  for (const ExampleClass& entry : service.m_classes) {
    WriteClass(service.m_name, entry, out);
  }
  for (const std::string& tenant : example.m_tenants) {
    out << "\n[[section." << service.m_name << ".tenant]]\n"
        << "name = \"" << tenant << "\"\n";
  }
  out << "\n[section." << service.m_name << ".probe]\n"
      << "probes_per_second = " << service.m_probes_per_second << "\n";
  for (const ExampleTarget& target : targets) {
    if (target.m_service == service.m_name) {
      WriteTarget(target, out);
    }
  }
}

}  // namespace

Example DarkframeExample() {
  return {.m_name = "darkframe",
          .m_region = "eu-north",
          .m_zones = {"eu-north-a", "eu-north-b", "eu-north-c", "eu-north-d"},
          .m_tenants = {"hobby", "observatory"},
          .m_services = {
              {.m_name = "catalog",
               .m_team = "imaging",
               .m_profile = "measuring-first",
               .m_targets = 30,
               .m_probes_per_second = 30,
               .m_classes = {MakeReadClass("previews", "/previews", 4),
                             MakeReadClass("metadata", "/metadata", 2),
                             MakeNonRepeatableClass("stacking-orders",
                                                    "/orders", 20, 60000)}},
              {.m_name = "archive",
               .m_team = "storage",
               .m_profile = "measuring-first",
               .m_targets = 8,
               .m_probes_per_second = 4,
               .m_classes = {
                   MakeDownloadClass("masters", "/masters"),
                   MakeNonRepeatableClass("refunds", "/refunds", 10, 10000)}}}};
}

Example CedarbloomExample() {
  return {
      .m_name = "cedarbloom",
      .m_region = "bc-coast",
      .m_zones = {"bc-coast-a", "bc-coast-b", "bc-coast-c"},
      .m_tenants = {"members", "stylists"},
      .m_services = {
          {.m_name = "member-app",
           .m_team = "members",
           .m_profile = "tail-first",
           .m_targets = 30,
           .m_probes_per_second = 90,
           .m_classes = {MakeReadClass("boxes", "/boxes", 3),
                         MakeReadClass("profiles", "/profiles", 2),
                         MakeNonRepeatableClass("swaps", "/swaps", 8, 10000),
                         MakeNonRepeatableClass("renewals", "/renewals", 15,
                                                30000)}},
          {.m_name = "stylist-desk",
           .m_team = "styling",
           .m_profile = "tail-first",
           .m_targets = 6,
           .m_probes_per_second = 12,
           .m_classes = {
               MakeDownloadClass("lookbooks", "/lookbooks"),
               MakeNonRepeatableClass("labels", "/labels", 10, 10000)}}}};
}

std::vector<ExampleTarget> MakeTargets(const Example& example,
                                       const std::string& ip,
                                       std::uint16_t first_port) {
  std::vector<ExampleTarget> targets;
  std::uint16_t port = first_port;
  for (const ExampleService& service : example.m_services) {
    for (int i = 0; i < service.m_targets; ++i) {
      const auto zone = static_cast<std::size_t>(i) % example.m_zones.size();
      targets.push_back({.m_service = service.m_name,
                         .m_name = service.m_name + "-" + std::to_string(i + 1),
                         .m_zone = example.m_zones[zone],
                         .m_address = {.m_ip = ip, .m_port = port++}});
    }
  }
  return targets;
}

std::string MakeDocument(const Example& example,
                         const std::vector<ExampleTarget>& targets) {
  std::ostringstream out;
  out << "schema = 1\n";
  for (const ExampleService& service : example.m_services) {
    WriteSection(example, service, targets, out);
  }
  return out.str();
}

}  // namespace guavacross::standin
