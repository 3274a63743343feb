#include "operators/commands.h"

#include <QFile>
#include <QTemporaryDir>
#include <sstream>

#include "document/keys.h"
#include "document/reference.h"
#include "guavacross/document.h"
#include "log_service/http_log_access.h"
#include "log_service/testing.h"
#include "net/http_fetcher.h"
#include "net/raw_server.h"
#include "operators/operator_server.h"
#include "operators/read_file.h"
#include "operators/status_page.h"
#include "standin/log_service.h"
#include "util/handle.h"
#include "util/qt_clock.h"
#include "util/test_case.h"

namespace guavacross::operators {

namespace {

using util::Section;

std::string SourceFile(const std::string& path) {
  return std::string(GUAVACROSS_SOURCE_DIR) + "/" + path;
}

// The exit code and output of a command.
struct CommandResult {
  int m_code;
  std::string m_out;
  std::string m_err;
};

template <class Options>
CommandResult RunCommand(int (*command)(const Options&,
                                        std::ostream&,
                                        std::ostream&),
                         const Options& options) {
  std::ostringstream out;
  std::ostringstream err;
  const int code = command(options, out, err);
  return {code, out.str(), err.str()};
}

// The parts of an entry instance that operators access.
class TestInstance {
 public:
  TestInstance(const std::string& name, const Endpoint& log)
      : m_reader({},
                 log_service::MakeLogAccess(log, util::QtClock()),
                 util::QtClock(),
                 m_metrics,
                 {}),
        m_server({.m_readiness =
                      [this] {
                        return Readiness{.m_ready = m_reader.ready(),
                                         .m_reason = "no configuration"};
                      },
                  .m_status = [this, name] { return MakeStatus(name); },
                  .m_section =
                      [this](const std::string& section) {
                        return FindSectionRow(m_reader, section);
                      },
                  .m_metrics = [this] { return m_metrics.Text(); }}) {
    CPPUNIT_ASSERT(m_server.Start({.m_ip = "127.0.0.1", .m_port = 0}));
  }

  void Start() { m_reader.Start(); }
  Endpoint endpoint() const { return m_server.endpoint(); }

 private:
  InstanceStatus MakeStatus(const std::string& name) const {
    return {.m_id = {.m_name = name, .m_incarnation = 7},
            .m_ready = m_reader.ready(),
            .m_log = m_reader.log_status(),
            .m_config_digest = m_reader.in_force().Digest(),
            .m_sections = SectionRows(m_reader, {}),
            .m_refused_edits = m_reader.RefusedEdits()};
  }

  util::Metrics m_metrics;
  log_service::ConfigReader m_reader;
  OperatorServer m_server;
};

// A log service, two instances and a directory for documents.
class TestDeployment {
 public:
  TestDeployment() : m_log("log", util::QtClock()) {
    CPPUNIT_ASSERT(m_log.Listen({.m_ip = "127.0.0.1", .m_port = 0}));
    for (const char* name : {"entry-1", "entry-2"}) {
      m_instances.push_back(
          std::make_unique<TestInstance>(name, m_log.endpoint()));
    }
  }

  void StartInstances() {
    for (const auto& instance : m_instances) {
      instance->Start();
    }
  }

  std::vector<Endpoint> endpoints() const {
    std::vector<Endpoint> endpoints;
    for (const auto& instance : m_instances) {
      endpoints.push_back(instance->endpoint());
    }
    return endpoints;
  }

  std::string Write(const std::string& name, const std::string& text) {
    std::string path = m_directory.path().toStdString() + "/" + name;
    QFile file(QString::fromStdString(path));
    CPPUNIT_ASSERT(file.open(QIODevice::WriteOnly));
    file.write(text.data(), static_cast<qint64>(text.size()));
    return path;
  }

  PublishOptions MakePublishOptions(const std::string& team, int slot_count) {
    std::string text;
    for (const char* section : {"archive", "catalog"}) {
      const std::string table = std::string("section.") + section;
      const std::string owner =
          std::string(section) == "catalog" ? "imaging" : "archive";
      text += "[" + table + "]\nteam = \"" + owner + "\"\n[[" + table +
              ".target]]\nname = \"t1\"\naddress = \"10.0.0.1:80\"\nzone = "
              "\"a\"\nslots = " +
              std::to_string(slot_count) + "\n[[" + table +
              ".class]]\nname = \"all\"\nrepeatable = true\n";
    }
    return {.m_file = Write("document.toml", text),
            .m_team = team,
            .m_log_service = m_log.endpoint(),
            .m_instances = endpoints(),
            .m_deadline = std::chrono::seconds(10)};
  }

  standin::LogService& log() { return m_log; }

 private:
  QTemporaryDir m_directory;
  standin::LogService m_log;
  std::vector<std::unique_ptr<TestInstance>> m_instances;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string FetchPath(const Endpoint& endpoint, const std::string& path) {
  net::HttpFetcher fetcher(util::QtClock());
  std::optional<net::FetchResult> result;
  fetcher.Get(endpoint, path, {std::chrono::seconds(5), std::size_t{1} << 20},
              [&result](const net::FetchResult& done) { result = done; });
  CPPUNIT_ASSERT(net::RunUntil([&result] { return result.has_value(); }));
  return std::to_string(result->m_status) + " " + result->m_body;
}

}  // namespace

GUAVACROSS_TEST_CASE(CheckCommand) {
  Section("the example documents are valid", [] {
    for (const char* name : {"darkframe", "cedarbloom"}) {
      const CommandResult command_result = RunCommand(
          &RunCheck,
          CheckOptions{.m_files = {SourceFile(std::string("examples/") + name +
                                              ".toml")}});
      CPPUNIT_ASSERT_EQUAL(std::string(), command_result.m_err);
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(kExitOk), command_result.m_code);
    }
  });
  Section("the reference page matches the output of the command", [] {
    const CommandResult command_result =
        RunCommand(&RunCheck, CheckOptions{.m_reference = true});
    CPPUNIT_ASSERT_EQUAL(
        ReadFile(SourceFile("docs/operators/document.md")).value(),
        command_result.m_out);
  });
  Section("a missing file is a usage error", [] {
    CPPUNIT_ASSERT_EQUAL(
        static_cast<int>(kExitUsage),
        RunCommand(&RunCheck, CheckOptions{.m_files = {"/nowhere"}}).m_code);
  });
}

GUAVACROSS_TEST_CASE(DocumentDefaults) {
  // A section that sets every optional key to its documented default must parse
  // to the same value as one that sets none. Fails if the default in the
  // reference differs from the one in the parser.
  const std::string minimal = log_service::SmallSection("imaging");
  std::string with_defaults = minimal;
  auto table = document::KeyTable::kSection;
  std::string section_keys;
  for (const document::KeySpec& spec : document::AllKeys()) {
    const std::string line =
        std::string(spec.m_name) + " = " + std::string(spec.m_default) + "\n";
    const bool is_in_minimal = spec.m_required ||
                               spec.m_table == document::KeyTable::kTarget ||
                               spec.m_table == document::KeyTable::kTenant ||
                               spec.m_key == document::Key::kClassRepeatable;
    if (is_in_minimal) {
      continue;
    }
    if (spec.m_table == document::KeyTable::kSection) {
      section_keys += line;
      continue;
    }
    // The minimal section ends within its class table, so class keys need no
    // heading.
    if (spec.m_table != table && spec.m_table != document::KeyTable::kClass) {
      with_defaults += std::string(document::Heading(spec.m_table)) + "\n";
    }
    table = spec.m_table;
    with_defaults += line;
  }
  const auto parse = [](const std::string& text) {
    return util::Catch([&text] { return ParseSection("s", text); });
  };
  const auto parsed = parse(section_keys + with_defaults);
  CPPUNIT_ASSERT_EQUAL(std::string(), parsed.m_error.m_text);
  CPPUNIT_ASSERT(*parse(minimal).m_value == *parsed.m_value);
}

GUAVACROSS_TEST_CASE(PublishCommand) {
  TestDeployment deployment;
  Section("an instance is not ready before it has a configuration", [&] {
    CPPUNIT_ASSERT_EQUAL(std::string("503 no configuration\n"),
                         FetchPath(deployment.endpoints()[0], "/readyz"));
  });
  deployment.StartInstances();
  Section("only the sections of the publishing team are published", [&] {
    const CommandResult command_result =
        RunCommand(&RunPublish, deployment.MakePublishOptions("imaging", 4));
    CPPUNIT_ASSERT_EQUAL(std::string(), command_result.m_err);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kExitOk), command_result.m_code);
    CPPUNIT_ASSERT(
        Contains(command_result.m_out, "archive: belongs to team archive"));
    CPPUNIT_ASSERT(
        Contains(command_result.m_out, "catalog: accepted as version 1"));
    CPPUNIT_ASSERT(Contains(command_result.m_out,
                            "catalog: in force on 2 of 2 instances"));
  });
  Section("an unchanged section is not published", [&] {
    const CommandResult command_result =
        RunCommand(&RunPublish, deployment.MakePublishOptions("imaging", 4));
    CPPUNIT_ASSERT(
        Contains(command_result.m_out, "catalog: unchanged at version 1"));
  });
  Section("another team's edit is refused", [&] {
    PublishOptions options = deployment.MakePublishOptions("billing", 5);
    options.m_sections = {"catalog"};
    const CommandResult command_result = RunCommand(&RunPublish, options);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kExitRefused), command_result.m_code);
    CPPUNIT_ASSERT_EQUAL(
        std::string("catalog: refused: team imaging owns the section\n"),
        command_result.m_err);
  });
  Section("a lost append answer is resolved by reading the log", [&] {
    deployment.log().SetFaults({{"lose_answers", 1}});
    const CommandResult command_result =
        RunCommand(&RunPublish, deployment.MakePublishOptions("archive", 6));
    CPPUNIT_ASSERT(Contains(command_result.m_out,
                            "archive: in force on 2 of 2 instances"));
  });
  Section("a section is removed", [&] {
    PublishOptions options = deployment.MakePublishOptions("archive", 6);
    options.m_file.clear();
    options.m_removals = {"archive"};
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kExitOk),
                         RunCommand(&RunPublish, options).m_code);
  });
  Section("status shows sections and refused edits", [&] {
    const CommandResult command_result = RunCommand(
        &RunStatus, StatusOptions{.m_instances = deployment.endpoints()});
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kExitOk), command_result.m_code);
    for (const char* part : {"entry-1", "entry-2", "catalog", "imaging",
                             "removed", "team imaging owns the section"}) {
      CPPUNIT_ASSERT(Contains(command_result.m_out, part));
    }
  });
  Section("all HTTP paths answer", [&] {
    const Endpoint endpoint = deployment.endpoints()[0];
    CPPUNIT_ASSERT_EQUAL(std::string("200 ok\n"),
                         FetchPath(endpoint, "/healthz"));
    CPPUNIT_ASSERT_EQUAL(std::string("200 ready\n"),
                         FetchPath(endpoint, "/readyz"));
    CPPUNIT_ASSERT(
        Contains(FetchPath(endpoint, "/metrics"), "guavacross_config_version"));
    const std::string all = FetchPath(endpoint, "/sections.json");
    CPPUNIT_ASSERT(Contains(all, "\"archive\"") &&
                   Contains(all, "\"catalog\""));
    const std::string one =
        FetchPath(endpoint, "/sections.json?section=catalog");
    CPPUNIT_ASSERT(!Contains(one, "\"archive\"") &&
                   Contains(one, "\"catalog\""));
    CPPUNIT_ASSERT(
        Contains(FetchPath(endpoint, "/status"), "Sections in force"));
    CPPUNIT_ASSERT(
        Contains(FetchPath(endpoint, "/status.json"), "\"refused_edits\""));
  });
  Section("nothing is published while the log service is unavailable", [&] {
    deployment.log().SetFaults({{"outage", "refuse"}});
    PublishOptions options = deployment.MakePublishOptions("imaging", 7);
    options.m_deadline = std::chrono::milliseconds(300);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kExitUnavailable),
                         RunCommand(&RunPublish, options).m_code);
  });
}

GUAVACROSS_TEST_CASE(StatusPages) {
  InstanceStatus status;
  status.m_id.m_name = "<entry>";
  status.m_sections = {{.m_name = "catalog", .m_team = "imaging"}};
  status.m_services = {{.m_name = "catalog", .m_targets = {{.m_name = "t1"}}},
                       {.m_name = "archive", .m_targets = {{.m_name = "t2"}}}};
  Section("names are escaped in HTML", [&] {
    const std::string page = StatusPage(status, "");
    CPPUNIT_ASSERT(Contains(page, "&lt;entry&gt;"));
    CPPUNIT_ASSERT(!Contains(page, "<entry>"));
  });
  Section("only the targets of the selected service are listed", [&] {
    const std::string page = StatusPage(status, "archive");
    CPPUNIT_ASSERT(Contains(page, "<td>t2</td>"));
    CPPUNIT_ASSERT(!Contains(page, "<td>t1</td>"));
  });
}

}  // namespace guavacross::operators
