#ifndef GUAVACROSS_LOG_SERVICE_H_
#define GUAVACROSS_LOG_SERVICE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "guavacross/error.h"
#include "guavacross/time.h"

/// The interface to the platform's log service.
namespace guavacross {

/// Streams that guavacross keeps in the platform's log service.
inline constexpr char kConfigStream[] = "config";
inline constexpr char kSnapshotStream[] = "config-snapshots";
inline constexpr char kClaimStream[] = "claims";

struct LogRecord {
  std::uint64_t m_offset = 0;
  /// Any bytes.
  std::string m_data;

  auto operator<=>(const LogRecord&) const = default;
};

/// The answer to a read.
struct LogBatch {
  std::vector<LogRecord> m_records;
  /// The smallest offset that the service still retains.
  std::uint64_t m_first_kept = 0;
  /// The offset that the next appended record will get.
  std::uint64_t m_end = 0;

  bool operator==(const LogBatch&) const = default;
};

/// The result of an append, as far as it is known.
enum class AppendEnd {
  kAppended,
  /// The record is not in the log and won't be.
  kRejected,
  /// The record may be in the log or may still be appended.
  kUnclear,
};

struct AppendResult {
  AppendEnd m_end = AppendEnd::kUnclear;
  std::uint64_t m_offset = 0;

  bool operator==(const AppendResult&) const = default;
};

/// Access to the log service as functions: `log_service::MakeLogAccess` makes
/// those of the running program, tests pass fakes.
///
/// Called on the control thread; each callback is called once, on that thread.
struct LogAccess {
  /// Appends one record to a stream.
  std::function<void(const std::string& stream,
                     const std::string& data,
                     std::function<void(AppendResult)>)>
      m_append;
  /// Reads records from offset `from` on, waiting up to `wait` for the first
  /// if there is none yet. Errors: only `kLogUnavailable`, so the callback need
  /// only check whether there is a batch. An expired offset is no error: the
  /// batch starts at `m_first_kept`. A read from beyond the end doesn't wait
  /// for the records before `from` and returns no records.
  std::function<void(const std::string& stream,
                     std::uint64_t from,
                     Duration wait,
                     std::function<void(Result<LogBatch>)>)>
      m_read;
};

}  // namespace guavacross

#endif  // GUAVACROSS_LOG_SERVICE_H_
