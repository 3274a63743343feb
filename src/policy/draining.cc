#include "policy/draining.h"

#include <algorithm>

namespace guavacross::policy {

namespace {

constexpr std::size_t kMaxTrackedRuns = 4;

bool Contains(const std::vector<std::string>& runs, const std::string& run) {
  return std::find(runs.begin(), runs.end(), run) != runs.end();
}

void AddRun(std::vector<std::string>* runs, const std::string& run) {
  if (run.empty() || Contains(*runs, run)) {
    return;
  }
  runs->push_back(run);
  if (runs->size() > kMaxTrackedRuns) {
    runs->erase(runs->begin());
  }
}

}  // namespace

Draining::Change Draining::UpdateFromTarget(bool draining,
                                            const std::string& incarnation) {
  Change change;
  const bool was_draining = m_draining;
  if (!incarnation.empty() && incarnation != m_incarnation) {
    change.m_restarted = !m_incarnation.empty();
    AddRun(&m_replaced_runs, m_incarnation);
    std::erase(m_replaced_runs, incarnation);
    m_incarnation = incarnation;
    m_draining = Contains(m_drained_runs, incarnation);
  } else if (incarnation.empty() && m_connect_failed && !draining) {
    change.m_restarted = m_draining;
    m_draining = false;
  }
  m_connect_failed = false;
  if (draining) {
    m_draining = true;
    AddRun(&m_drained_runs, m_incarnation);
  }
  change.m_started_draining = m_draining && !was_draining;
  return change;
}

Draining::Change Draining::UpdateFromPeer(const std::string& incarnation) {
  if (Contains(m_replaced_runs, incarnation)) {
    return {};
  }
  AddRun(&m_drained_runs, incarnation);
  if (!incarnation.empty()) {
    m_incarnation = incarnation;
  }
  const Change change{.m_started_draining = !m_draining};
  m_draining = true;
  return change;
}

}  // namespace guavacross::policy
