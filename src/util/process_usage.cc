#include "util/process_usage.h"

#include <malloc.h>

#include <QByteArray>
#include <QFile>
#include <ctime>

namespace guavacross::util {

namespace {

constexpr double kBytesPerKibibyte = 1024;

// The sum of the numbers on the lines of `path` that start with `prefix`; 0 if
// the file can't be opened.
double SumOfValues(const QString& path, const char* prefix) {
  QFile file(path);
  if (!file.open(QIODevice::ReadOnly)) {
    return 0;
  }
  double sum = 0;
  for (const QByteArray& line : file.readAll().split('\n')) {
    if (line.startsWith(prefix)) {
      sum += line.simplified().split(' ').value(1).toDouble();
    }
  }
  return sum;
}

}  // namespace

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double PrivateBytes() {
  malloc_trim(0);
  return kBytesPerKibibyte * SumOfValues("/proc/self/smaps_rollup", "Private_");
}

int ThreadCount() {
  return static_cast<int>(SumOfValues("/proc/self/status", "Threads:"));
}

}  // namespace guavacross::util
