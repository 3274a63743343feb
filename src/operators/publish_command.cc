#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUuid>
#include <algorithm>
#include <optional>

#include "guavacross/config_state.h"
#include "guavacross/document.h"
#include "log_service/http_log_access.h"
#include "log_service/publisher.h"
#include "operators/commands.h"
#include "operators/fetch_all.h"
#include "operators/read_file.h"
#include "util/handle.h"
#include "util/qt_clock.h"

namespace guavacross::operators {

namespace {

constexpr Duration kVersionPollInterval = std::chrono::milliseconds(100);
constexpr Duration kVersionPollTimeout = std::chrono::seconds(2);

// An edit to publish, or the reason why it is skipped.
struct PlannedEdit {
  ConfigEdit m_edit;
  // False if there is nothing to publish; `m_skip_reason` then says why.
  bool m_publish = true;
  std::string m_skip_reason;
};

std::string NewEditId() {
  return QUuid::createUuid().toString(QUuid::Id128).toStdString();
}

bool Contains(const std::vector<std::string>& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

const SectionState* FindSection(const ConfigSnapshot& state,
                                const std::string& name) {
  const auto found = state.m_sections.find(name);
  return found == state.m_sections.end() ? nullptr : &found->second;
}

bool IsUnchanged(const SectionState* current, const SectionText& text) {
  if (current == nullptr || current->m_schema != kDocumentSchema) {
    return false;
  }
  const auto proposed =
      util::Catch([&text] { return ParseSection(text.m_name, text.m_toml); });
  return ServiceInForce(*current) == proposed.m_value;
}

PlannedEdit PlanEdit(const PublishOptions& options,
                     const ConfigSnapshot& state,
                     const SectionText& text) {
  const SectionState* const current = FindSection(state, text.m_name);
  const bool exists = current != nullptr && !current->m_toml.empty();
  PlannedEdit plan;
  plan.m_edit = {
      .m_schema = kDocumentSchema,
      .m_section = text.m_name,
      .m_team = options.m_team,
      .m_based_on = current == nullptr ? 0 : current->m_version,
      .m_edit_id = options.m_edit_id.empty() ? NewEditId() : options.m_edit_id,
      .m_toml = text.m_toml,
      .m_owner = text.m_team};
  const std::string owner = exists ? current->m_team : text.m_team;
  if (options.m_sections.empty() && owner != options.m_team) {
    plan.m_publish = false;
    plan.m_skip_reason = "belongs to team " + owner + ", left alone";
  } else if (options.m_edit_id.empty() && IsUnchanged(current, text)) {
    plan.m_publish = false;
    plan.m_skip_reason =
        "unchanged at version " + std::to_string(current->m_version);
  }
  return plan;
}

PlannedEdit PlanRemoval(const PublishOptions& options,
                        const ConfigSnapshot& state,
                        const std::string& name) {
  return PlanEdit(options, state,
                  {.m_name = name, .m_team = options.m_team, .m_toml = ""});
}

// Returns the version of the section in an instance's response; 0 if none.
std::uint64_t SectionVersion(const net::FetchResult& fetched) {
  const auto json =
      QJsonDocument::fromJson(QByteArray::fromStdString(fetched.m_body));
  const QJsonValue row = json["sections"].toArray().at(0);
  return static_cast<std::uint64_t>(row["version"].toInteger(0));
}

class PublishRun {
 public:
  PublishRun(const PublishOptions& options,
             std::ostream& out,
             std::ostream& err)
      : m_options(options),
        m_out(out),
        m_err(err),
        m_clock(util::QtClock()),
        m_publisher({.m_deadline = options.m_deadline,
                     .m_seed = QUuid::createUuid().data1},
                    log_service::MakeLogAccess(options.m_log_service, m_clock),
                    m_clock) {}

  int Run(const std::vector<SectionText>& sections) {
    const bool loaded = WaitFor<bool>([this](std::function<void(bool)> done) {
      m_publisher.Load(std::move(done));
    });
    if (!loaded) {
      m_err << "publish: the log service can't be read\n";
      return kExitUnavailable;
    }
    int worst_exit_code = kExitOk;
    for (const SectionText& section : sections) {
      worst_exit_code =
          std::max(worst_exit_code,
                   Publish(PlanEdit(m_options, m_publisher.state(), section)));
    }
    for (const std::string& name : m_options.m_removals) {
      worst_exit_code =
          std::max(worst_exit_code,
                   Publish(PlanRemoval(m_options, m_publisher.state(), name)));
    }
    return worst_exit_code;
  }

 private:
  int Publish(const PlannedEdit& plan) {
    const std::string& section = plan.m_edit.m_section;
    if (!plan.m_publish) {
      m_out << section << ": " << plan.m_skip_reason << "\n";
      return kExitOk;
    }
    using Outcome = util::Expected<EditVerdict>;
    const Outcome outcome =
        WaitFor<Outcome>([&](std::function<void(Outcome)> done) {
          m_publisher.Publish(plan.m_edit, std::move(done));
        });
    if (!outcome) {
      return ReportError(plan.m_edit, outcome.m_error);
    }
    m_out << section << ": accepted as version " << outcome.m_value->m_version
          << std::endl;
    return AwaitInForce(section, outcome.m_value->m_version);
  }

  int ReportError(const ConfigEdit& edit, const Error& error) {
    if (error.m_kind == ErrorKind::kPublishConflict) {
      m_err << edit.m_section << ": refused: " << error.m_text << "\n";
      return kExitRefused;
    }
    if (error.m_kind == ErrorKind::kAppendUnclear) {
      m_err << edit.m_section << ": unclear: " << error.m_text
            << "; publish it again with --edit-id " << edit.m_edit_id << "\n";
      return kExitUnclear;
    }
    m_err << edit.m_section << ": not published: " << error.m_text << "\n";
    return kExitUnavailable;
  }

  std::size_t CountInstancesInForce(const std::string& section,
                                    std::uint64_t version) {
    const auto answers =
        FetchAll(m_options.m_instances, "/sections.json?section=" + section,
                 kVersionPollTimeout);
    return std::count_if(answers.begin(), answers.end(),
                         [version](const net::FetchResult& fetched) {
                           return SectionVersion(fetched) >= version;
                         });
  }

  int AwaitInForce(const std::string& section, std::uint64_t version) {
    const std::size_t instance_count = m_options.m_instances.size();
    if (instance_count == 0) {
      return kExitOk;
    }
    const TimePoint start = m_clock.m_now();
    std::size_t in_force_count = CountInstancesInForce(section, version);
    while (in_force_count < instance_count &&
           m_clock.m_now() - start < m_options.m_in_force_deadline) {
      WaitFor<bool>([this](const std::function<void(bool)>& done) {
        m_timer =
            m_clock.m_call_after(kVersionPollInterval, [done] { done(true); });
      });
      in_force_count = CountInstancesInForce(section, version);
    }
    m_out << section << ": in force on " << in_force_count << " of "
          << instance_count << " instances after "
          << static_cast<int>(Milliseconds(m_clock.m_now() - start)) << " ms"
          << std::endl;
    return in_force_count < instance_count ? kExitNotInForce : kExitOk;
  }

  const PublishOptions& m_options;
  std::ostream& m_out;
  std::ostream& m_err;
  Clock m_clock;
  std::unique_ptr<Timer> m_timer;
  log_service::Publisher m_publisher;
};

// Stores the selected sections of the document in `sections`. Returns `kExitOk`
// or the exit code of the failure.
int ReadSections(const PublishOptions& options,
                 std::ostream& err,
                 std::vector<SectionText>* sections) {
  if (options.m_file.empty() && !options.m_removals.empty()) {
    return kExitOk;
  }
  const auto text = ReadFile(options.m_file);
  if (!text) {
    err << options.m_file << ": can't be read\n";
    return kExitUsage;
  }
  auto split = util::Catch([&text] { return SplitDocument(*text); });
  if (!split) {
    err << options.m_file << ": " << split.m_error.m_text << "\n";
    return kExitRefused;
  }
  for (const std::string& name : options.m_sections) {
    const auto& all = *split.m_value;
    const bool found = std::any_of(
        all.begin(), all.end(),
        [&name](const SectionText& section) { return section.m_name == name; });
    if (!found) {
      err << options.m_file << ": has no section " << name << "\n";
      return kExitUsage;
    }
  }
  for (const SectionText& section : *split.m_value) {
    if (options.m_sections.empty() ||
        Contains(options.m_sections, section.m_name)) {
      sections->push_back(section);
    }
  }
  return kExitOk;
}

}  // namespace

int RunPublish(const PublishOptions& options,
               std::ostream& out,
               std::ostream& err) {
  if (options.m_team.empty()) {
    err << "publish: no team given\n";
    return kExitUsage;
  }
  std::vector<SectionText> sections;
  const int read_exit_code = ReadSections(options, err, &sections);
  if (read_exit_code != kExitOk) {
    return read_exit_code;
  }
  const std::size_t edits = sections.size() + options.m_removals.size();
  if (!options.m_edit_id.empty() && edits != 1) {
    err << "publish: --edit-id needs exactly one section or removal\n";
    return kExitUsage;
  }
  return PublishRun(options, out, err).Run(sections);
}

}  // namespace guavacross::operators
