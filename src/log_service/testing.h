#ifndef GUAVACROSS_LOG_SERVICE_TESTING_H_
#define GUAVACROSS_LOG_SERVICE_TESTING_H_

#include <cstdint>
#include <string>

#include "guavacross/config_state.h"

/// Makes small sections and edits for tests.
namespace guavacross::log_service {

/// Returns the text of a section with one target and one class.
inline std::string SmallSection(const std::string& team, int slot_count = 4) {
  return "team = \"" + team +
         "\"\n"
         "[[target]]\n"
         "name = \"t1\"\n"
         "address = \"10.0.0.1:80\"\n"
         "zone = \"a\"\n"
         "slots = " +
         std::to_string(slot_count) +
         "\n"
         "[[class]]\n"
         "name = \"all\"\n"
         "repeatable = true\n";
}

inline ConfigEdit MakeEdit(const std::string& section,
                           const std::string& team,
                           std::uint64_t based_on,
                           const std::string& edit_id,
                           int slot_count = 4) {
  return {.m_schema = 1,
          .m_section = section,
          .m_team = team,
          .m_based_on = based_on,
          .m_edit_id = edit_id,
          .m_toml = SmallSection(team, slot_count)};
}

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_TESTING_H_
