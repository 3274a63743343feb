#include "guavacross/document.h"

#include "util/handle.h"
#include "util/test_case.h"

namespace guavacross {

namespace {

constexpr char kMinimalSection[] =
    "team = \"imaging\"\n"
    "[[target]]\n"
    "name = \"t1\"\n"
    "address = \"10.0.0.1:80\"\n"
    "zone = \"a\"\n"
    "[[class]]\n"
    "name = \"reads\"\n"
    "methods = [\"GET\"]\n";

constexpr char kMinimalDocument[] =
    "schema = 1\n"
    "[section.catalog]\n"
    "team = \"imaging\"\n"
    "[[section.catalog.target]]\n"
    "name = \"t1\"\n"
    "address = \"10.0.0.1:80\"\n"
    "zone = \"a\"\n"
    "[[section.catalog.class]]\n"
    "name = \"reads\"\n"
    "methods = [\"GET\"]\n";

std::string SectionError(const std::string& toml, int schema = 1) {
  return util::Catch([&] { return ParseSection("catalog", toml, schema); })
      .m_error.m_text;
}

std::string DocumentError(const std::string& toml) {
  return util::Catch([&] { return ParseDocument(toml); }).m_error.m_text;
}

void AssertEqual(const std::string& expected, const std::string& found) {
  CPPUNIT_ASSERT_EQUAL(expected, found);
}

}  // namespace

GUAVACROSS_TEST_CASE(DocumentSections) {
  using util::Section;
  Section("a minimal section is parsed, with defaults", [] {
    const auto service =
        util::Catch([] { return ParseSection("catalog", kMinimalSection); });
    AssertEqual("", service.m_error.m_text);
    AssertEqual("imaging", service.m_value->m_team);
    CPPUNIT_ASSERT_EQUAL(4, service.m_value->m_targets[0].m_slots);
    CPPUNIT_ASSERT(service.m_value->m_classes[0].m_repeatable);
  });
  Section("a section's own text parses to the same result", [] {
    const auto split =
        util::Catch([] { return SplitDocument(kMinimalDocument); });
    AssertEqual("", split.m_error.m_text);
    const auto whole =
        util::Catch([] { return ParseDocument(kMinimalDocument); });
    const SectionText& section = split.m_value->at(0);
    const auto own = util::Catch(
        [&] { return ParseSection(section.m_name, section.m_toml); });
    AssertEqual("", own.m_error.m_text);
    CPPUNIT_ASSERT(*own.m_value == whole.m_value->at(0));
  });
  Section("an unknown schema is reported with its number", [] {
    AssertEqual(
        "line 1, column 1: schema: this release reads schema 1, not schema 2",
        SectionError(kMinimalSection, 2));
    AssertEqual(
        "line 1, column 10: schema: this release reads schema 1, not schema 7",
        DocumentError("schema = 7\n[section]\n"));
  });
}

GUAVACROSS_TEST_CASE(DocumentErrors) {
  using util::Section;
  const std::string section = kMinimalSection;
  const std::string document = kMinimalDocument;
  Section("an error names line, column and key", [&] {
    AssertEqual("line 9, column 1: class[0].colour: unknown key",
                SectionError(section + "colour = 1\n"));
    AssertEqual(
        "line 11, column 1: section.catalog.class[0].colour: unknown key",
        DocumentError(document + "colour = 1\n"));
    AssertEqual(
        "line 9, column 14: class[0].queue_limit: must be a whole number",
        SectionError(section + "queue_limit= \"many\"\n"));
    AssertEqual(
        "line 10, column 21: probe.probes_per_second: must be from 0 to 100000",
        SectionError(section + "[probe]\nprobes_per_second = nan\n"));
  });
  Section("a duplicate section is an error", [&] {
    CPPUNIT_ASSERT(DocumentError(document + "[section.catalog]\n")
                       .starts_with("line 11, column"));
  });
  Section("a duplicate target or address is an error", [&] {
    AssertEqual("line 10, column 8: target[1].name: the target is listed twice",
                SectionError(section + "[[target]]\nname = \"t1\"\naddress = "
                                       "\"10.0.0.2:80\"\nzone = \"a\"\n"));
    AssertEqual(
        "line 11, column 11: target[1].address: the address is listed twice",
        SectionError(section + "[[target]]\nname = \"t2\"\naddress = "
                               "\"10.0.0.1:80\"\nzone = \"a\"\n"));
  });
  Section("unsafe hedging and a missing repeatable are errors", [&] {
    AssertEqual(
        "line 10, column 9: class[0].hedge: a class that isn't repeatable "
        "can't be hedged",
        SectionError(section + "repeatable = false\nhedge = true\n"));
    CPPUNIT_ASSERT(
        SectionError(section +
                     "[[class]]\nname = \"orders\"\nmethods = [\"POST\"]\n")
            .ends_with("class[1].repeatable: is missing"));
  });
  Section("an unreachable class is an error", [&] {
    CPPUNIT_ASSERT(SectionError(section + "[[class]]\nname = \"more\"\nmethods "
                                          "= [\"GET\"]\npath_prefix = \"/x\"\n")
                       .find("no request can reach the class") !=
                   std::string::npos);
  });
  Section("an invalid section name is an error", [&] {
    CPPUNIT_ASSERT(
        DocumentError("[section.\"a b\"]\n")
            .starts_with("line 1, column 1: section.a b: the section's name"));
  });
  Section("malformed TOML and an empty document are errors", [&] {
    CPPUNIT_ASSERT(DocumentError("[section").starts_with("line 1"));
    CPPUNIT_ASSERT(DocumentError("").find("section: is missing") !=
                   std::string::npos);
  });
}

GUAVACROSS_TEST_CASE(DocumentClasses) {
  const auto service = util::Catch([] {
    return ParseSection("catalog",
                        std::string(kMinimalSection) +
                            "path_prefix = \"/previews\"\n[[class]]\nname = "
                            "\"rest\"\nrepeatable = false\n");
  });
  AssertEqual("", service.m_error.m_text);
  const auto name = [&](const char* method, const char* path) {
    const ClassConfig* found = FindClass(*service.m_value, method, path);
    return found == nullptr ? std::string("none") : found->m_name;
  };
  AssertEqual("reads", name("GET", "/previews/7"));
  AssertEqual("rest", name("POST", "/previews/7"));
  AssertEqual("rest", name("GET", "/orders"));
}

}  // namespace guavacross
