#include "guavacross/settings.h"

#include "util/handle.h"
#include "util/test_case.h"

namespace guavacross {

namespace {

constexpr char kCompleteSettings[] =
    "name = \"entry-1\"\n"
    "region = \"eu-north\"\n"
    "zone = \"a\"\n"
    "callers = \"127.0.0.1:8001\"\n"
    "operators = \"127.0.0.1:8002\"\n"
    "peers = \"127.0.0.1:8003\"\n"
    "log_service = \"127.0.0.1:7001\"\n"
    "instance_list = \"127.0.0.1:7002\"\n";

std::string ErrorOf(const std::string& toml,
                    const std::vector<std::string>& overrides = {}) {
  return util::Handle(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ParseSettings(toml, overrides));
        return std::string();
      },
      [](const Error& error) { return error.m_text; });
}

}  // namespace

GUAVACROSS_TEST_CASE(Settings) {
  util::Section("a file with all required keys is accepted", [] {
    const auto settings =
        util::Catch([] { return ParseSettings(kCompleteSettings, {}); });
    CPPUNIT_ASSERT(settings.m_value.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{8001},
                         settings.m_value->m_callers.m_port);
    CPPUNIT_ASSERT_EQUAL(2, settings.m_value->m_workers);
  });
  util::Section("an override takes precedence over the file", [] {
    const auto settings = util::Catch(
        [] { return ParseSettings(kCompleteSettings, {"zone = \"b\""}); });
    CPPUNIT_ASSERT(settings.m_value.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), settings.m_value->m_zone);
  });
  util::Section("mechanisms are disabled by name", [] {
    const auto settings = util::Catch([] {
      return ParseSettings(kCompleteSettings,
                           {"disabled_mechanisms = [\"hedging\"]"});
    });
    CPPUNIT_ASSERT(settings.m_value.has_value());
    CPPUNIT_ASSERT(settings.m_value->m_disabled_mechanisms ==
                   std::set<Mechanism>{Mechanism::kHedging});
    CPPUNIT_ASSERT(ErrorOf(kCompleteSettings, {"disabled_mechanisms = [\"x\"]"})
                       .find("unknown "
                             "mechanism x") != std::string::npos);
  });
  util::Section("an error states the line, column and key", [] {
    CPPUNIT_ASSERT_EQUAL(
        std::string("line 9, column 1: colour: unknown key"),
        ErrorOf(std::string(kCompleteSettings) + "colour = 3\n"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("line 9, column 11: workers: must be from 1 to 256"),
        ErrorOf(std::string(kCompleteSettings) + "workers = 0\n"));
    CPPUNIT_ASSERT(ErrorOf("name = 3").find("name: must be a string") !=
                   std::string::npos);
    CPPUNIT_ASSERT(ErrorOf("name = ").find("line 1") == 0);
  });
}

}  // namespace guavacross
