#include "guavacross/error.h"

#include <set>

#include "util/handle.h"
#include "util/test_case.h"

namespace guavacross {

GUAVACROSS_TEST_CASE(ErrorTable) {
  util::Section("has one row per kind, in the order of the kinds", [] {
    int index = 0;
    for (const ErrorAnswer& row : AllErrorAnswers()) {
      CPPUNIT_ASSERT_EQUAL(index, static_cast<int>(row.m_kind));
      ++index;
    }
  });
  util::Section("has a unique name for each kind", [] {
    std::set<std::string_view> names;
    for (const ErrorAnswer& row : AllErrorAnswers()) {
      CPPUNIT_ASSERT(names.insert(row.m_name).second);
    }
  });
  util::Section("a failed result passes its error to the handler", [] {
    const Error seen = util::Handle(
        []() -> Result<Error> {
          return Fail(ErrorKind::kQueueFull, "64 waiting");
        },
        [](const Error& error) { return error; });
    CPPUNIT_ASSERT(seen.m_kind == ErrorKind::kQueueFull);
    CPPUNIT_ASSERT_EQUAL(std::string("64 waiting"), seen.m_text);
  });
}

}  // namespace guavacross
