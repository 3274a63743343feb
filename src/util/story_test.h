#ifndef GUAVACROSS_UTIL_STORY_TEST_H_
#define GUAVACROSS_UTIL_STORY_TEST_H_

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
///     GUAVACROSS_STORY(ProbeBudget) {
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
class StoryTest : public CppUnit::TestCase {
 public:
  StoryTest(const std::string& name, std::function<void()> story);
  void runTest() override;

 private:
  std::function<void()> m_story;
};

/// Registers a test case with CppUnit during static initialization.
class StoryRegistration : public CppUnit::TestFactory {
 public:
  StoryRegistration(std::string name, std::function<void()> story);
  CppUnit::Test* makeTest() override;  // NOLINT: CppUnit's name

 private:
  std::string m_name;
  std::function<void()> m_story;
};

}  // namespace guavacross::util

#define GUAVACROSS_STORY(NAME)                                    \
  static void NAME##Story();                                      \
  static guavacross::util::StoryRegistration NAME##_registration( \
      #NAME, &NAME##Story);                                       \
  static void NAME##Story()

#endif  // GUAVACROSS_UTIL_STORY_TEST_H_
