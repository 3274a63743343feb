#ifndef GUAVACROSS_UTIL_PROCESS_USAGE_H_
#define GUAVACROSS_UTIL_PROCESS_USAGE_H_

namespace guavacross::util {

/// CPU time used by this process, in seconds. Thread safe.
double ProcessorSeconds();

/// Private memory of this process in bytes, measured after the allocator has
/// returned free memory to the system; 0 if unknown. Thread safe.
double PrivateBytes();

/// Number of threads of this process.
int ThreadCount();

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_PROCESS_USAGE_H_
