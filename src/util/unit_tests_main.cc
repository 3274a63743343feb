// Runs all unit tests, or only the one named on the command line, and prints
// `N passed, N failed` as the last line.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <QCoreApplication>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "util/log.h"
#include "util/story_test.h"

namespace guavacross::util {

namespace {

std::vector<std::string>& OpenSections() {
  static std::vector<std::string> sections;
  return sections;
}

std::string SectionPath() {
  std::string path;
  for (const std::string& name : OpenSections()) {
    path += path.empty() ? name : " / " + name;
  }
  return path;
}

}  // namespace

void Section(const std::string& name, const std::function<void()>& body) {
  OpenSections().push_back(name);
  body();
  OpenSections().pop_back();
}

StoryTest::StoryTest(const std::string& name, std::function<void()> story)
    : CppUnit::TestCase(name), m_story(std::move(story)) {}

void StoryTest::runTest() {
  OpenSections().clear();
  try {
    m_story();
  } catch (CppUnit::Exception& failure) {
    CppUnit::Message message = failure.message();
    message.addDetail("in section: " + SectionPath());
    failure.setMessage(message);
    throw;
  }
}

StoryRegistration::StoryRegistration(std::string name,
                                     std::function<void()> story)
    : m_name(std::move(name)), m_story(std::move(story)) {
  CppUnit::TestFactoryRegistry::getRegistry().registerFactory(this);
}

CppUnit::Test* StoryRegistration::makeTest() {
  return new StoryTest(m_name, m_story);
}

}  // namespace guavacross::util

int main(int argc, char** argv) {
  QCoreApplication application(argc, argv);
  guavacross::util::StartLogging("unit-tests", "error");

  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);

  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  // An empty name runs all tests.
  runner.run(controller, argc > 1 ? argv[1] : "");

  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  const int failed = collector.testFailuresTotal();
  const int passed = collector.runTests() - failed;
  std::cout << passed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 && passed > 0 ? 0 : 1;
}
