#ifndef GUAVACROSS_UTIL_QT_CLOCK_H_
#define GUAVACROSS_UTIL_QT_CLOCK_H_

#include "guavacross/time.h"

namespace guavacross::util {

/// The clock used outside of tests: the system's monotonic and wall clocks, and
/// Qt timers on the calling thread's event loop.
Clock QtClock();

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_QT_CLOCK_H_
