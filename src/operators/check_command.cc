#include <QFile>
#include <boost/leaf/error.hpp>

#include "document/reference.h"
#include "guavacross/document.h"
#include "operators/commands.h"
#include "operators/read_file.h"
#include "util/handle.h"

namespace guavacross::operators {

std::optional<std::string> ReadFile(const std::string& path) {
  QFile file(QString::fromStdString(path));
  if (!file.open(QIODevice::ReadOnly)) {
    return std::nullopt;
  }
  return file.readAll().toStdString();
}

namespace {

int CheckFile(const std::string& path, std::ostream& out, std::ostream& err) {
  const auto text = ReadFile(path);
  if (!text) {
    err << path << ": can't be read\n";
    return kExitUsage;
  }
  const auto services = util::Catch([&text] { return ParseDocument(*text); });
  if (!services) {
    err << path << ": " << services.m_error.m_text << "\n";
    return kExitRefused;
  }
  std::size_t targets = 0;
  for (const ServiceConfig& service : *services.m_value) {
    targets += service.m_targets.size();
  }
  out << path << ": ok, " << services.m_value->size() << " sections, "
      << targets << " targets\n";
  return kExitOk;
}

}  // namespace

int RunCheck(const CheckOptions& options,
             std::ostream& out,
             std::ostream& err) {
  if (options.m_reference) {
    out << document::Reference();
    return kExitOk;
  }
  if (options.m_files.empty()) {
    err << "check: no document given\n";
    return kExitUsage;
  }
  int worst_exit_code = kExitOk;
  for (const std::string& path : options.m_files) {
    worst_exit_code = std::max(worst_exit_code, CheckFile(path, out, err));
  }
  return worst_exit_code;
}

}  // namespace guavacross::operators
