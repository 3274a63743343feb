#ifndef GUAVACROSS_TESTSUITE_NAIVE_NAIVE_CONFIG_H_
#define GUAVACROSS_TESTSUITE_NAIVE_NAIVE_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "guavacross/config_state.h"

namespace guavacross::naive {

/// Naive reference implementation of the configuration: keeps all edits in a
/// list and evaluates each query by reading the list from its start. It has
/// no snapshots, no peers and no schemas of other releases.
class NaiveConfig {
 public:
  void Append(const ConfigEdit& edit) { m_edits.push_back(edit); }

  /// The version of a section, 0 if no edit of it was ever accepted.
  std::uint64_t Version(const std::string& section) const;
  /// The TOML text in force, empty if there is none.
  std::string Text(const std::string& section) const;
  std::set<std::string> Sections() const;

 private:
  struct Current {
    std::uint64_t m_version = 0;
    std::string m_text;
    std::string m_team;
  };
  Current Read(const std::string& section) const;

  std::vector<ConfigEdit> m_edits;
};

}  // namespace guavacross::naive

#endif  // GUAVACROSS_TESTSUITE_NAIVE_NAIVE_CONFIG_H_
