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
#include "util/test_case.h"

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

FunctionTestCase::FunctionTestCase(const std::string& name,
                                   std::function<void()> test_body)
    : CppUnit::TestCase(name), m_test_body(std::move(test_body)) {}

void FunctionTestCase::runTest() {
  OpenSections().clear();
  try {
    m_test_body();
  } catch (CppUnit::Exception& failure) {
    CppUnit::Message message = failure.message();
    message.addDetail("in section: " + SectionPath());
    failure.setMessage(message);
    throw;
  }
}

TestCaseRegistration::TestCaseRegistration(std::string name,
                                           std::function<void()> test_body)
    : m_name(std::move(name)), m_test_body(std::move(test_body)) {
  CppUnit::TestFactoryRegistry::getRegistry().registerFactory(this);
}

CppUnit::Test* TestCaseRegistration::makeTest() {
  return new FunctionTestCase(m_name, m_test_body);
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
