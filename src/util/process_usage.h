#ifndef GUAVACROSS_UTIL_PROCESS_USAGE_H_
#define GUAVACROSS_UTIL_PROCESS_USAGE_H_

namespace guavacross::util {

/// Processor time that this process has used, in seconds. Thread safe.
double ProcessorSeconds();

/// This process's private memory in bytes, after what the allocator can give
/// back was given back. 0 if the system doesn't tell. Thread safe.
double PrivateBytes();

/// Threads of this process.
int ThreadCount();

}  // namespace guavacross::util

#endif  // GUAVACROSS_UTIL_PROCESS_USAGE_H_
