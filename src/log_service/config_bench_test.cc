#include "log_service/config_bench.h"

#include <sstream>

#include "util/test_case.h"

namespace guavacross::log_service {

GUAVACROSS_TEST_CASE(ConfigBench) {
  std::ostringstream out;
  RunConfigBench({2, 3}, out);
  CPPUNIT_ASSERT(out.str().find("       3      16") != std::string::npos);
}

}  // namespace guavacross::log_service
