#include "load/answer_body.h"

#include "util/story_test.h"

namespace guavacross::load {

using util::Section;

GUAVACROSS_STORY(AnswerBodies) {
  const std::string whole = AnswerBytes("order-7", 1000, 0, 1000);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, whole.size());

  Section("any piece can be made by itself", [&] {
    for (const std::size_t offset : {0, 1, 63, 64, 65, 500, 999}) {
      CPPUNIT_ASSERT_EQUAL(whole.substr(offset, 130),
                           AnswerBytes("order-7", 1000, offset, 130));
    }
    CPPUNIT_ASSERT(AnswerBytes("order-7", 1000, 1000, 10).empty());
  });
  Section("a piece is known by its identity and place", [&] {
    CPPUNIT_ASSERT(IsAnswerOf("order-7", 100, whole.substr(100, 300)));
    CPPUNIT_ASSERT(!IsAnswerOf("order-8", 100, whole.substr(100, 300)));
    CPPUNIT_ASSERT(!IsAnswerOf("order-7", 164, whole.substr(100, 300)));
  });
}

}  // namespace guavacross::load
