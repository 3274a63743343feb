#ifndef GUAVACROSS_UTIL_TEST_CASE_H_
#define GUAVACROSS_UTIL_TEST_CASE_H_

#include <cppunit/TestAssert.h>
#include <cppunit/TestCase.h>
#include <cppunit/extensions/TestFactory.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <functional>
#include <memory>
#include <string>

/// Unit tests based on CppUnit: a test case is a function with named sections,
/// which can be nested.
///
///     GUAVACROSS_TEST_CASE(ProbeBudget) {
///       TokenBucket bucket(...);
///       Section("a full bucket", [&] {
///         CPPUNIT_ASSERT(bucket.Take());
///         Section("refuses once it is empty", [&] { ... });
///       });
///     }
///
/// Each section runs once, in order. A failure report states the names of the
/// sections it occurred in.
namespace guavacross::util {

/// Runs `body` as a section named `name`.
void Section(const std::string& name, const std::function<void()>& body);

/// A CppUnit test case that runs a function.
class FunctionTestCase : public CppUnit::TestCase {
 public:
  FunctionTestCase(const std::string& name, std::function<void()> test_body);
  void runTest() override;

 private:
  std::function<void()> m_test_body;
};

/// Registers a test case with CppUnit during static initialization.
class TestCaseRegistration : public CppUnit::TestFactory {
 public:
  TestCaseRegistration(std::string name, std::function<void()> test_body);
  CppUnit::Test* makeTest() override;  // NOLINT: CppUnit's name

 private:
  std::string m_name;
  std::function<void()> m_test_body;
};

}  // namespace guavacross::util

#define GUAVACROSS_TEST_CASE(NAME)                                   \
  static void NAME##TestBody();                                      \
  static guavacross::util::TestCaseRegistration NAME##_registration( \
      #NAME, &NAME##TestBody);                                       \
  static void NAME##TestBody()

#endif  // GUAVACROSS_UTIL_TEST_CASE_H_
