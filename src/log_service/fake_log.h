#ifndef GUAVACROSS_LOG_SERVICE_FAKE_LOG_H_
#define GUAVACROSS_LOG_SERVICE_FAKE_LOG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "guavacross/log_service.h"
#include "guavacross/time.h"

namespace guavacross::log_service {

/// What happens to the record of an append whose response is lost.
enum class LostAnswer {
  /// The record is appended.
  kApplied,
  /// The record is never appended.
  kNotApplied,
  /// The record is appended when `DeliverDelayed` is called.
  kDelayed,
};

/// An in-memory log service for tests and demonstrations.
///
/// Pass `access()` to the code under test, enable faults, and advance the
/// clock: every callback is called from a timer of the clock given to the
/// constructor, after the latency set by `SetLatency`. Not thread safe.
class FakeLog {
 public:
  explicit FakeLog(Clock clock);
  ~FakeLog();
  FakeLog(const FakeLog&) = delete;
  FakeLog& operator=(const FakeLog&) = delete;

  /// Returns the access of one client. It may be used after the log is
  /// destroyed, but then no callback is called. `SetPartitioned` injects faults
  /// per client.
  LogAccess access(const std::string& client = "");

  /// Appends a record, regardless of the faults that are enabled.
  ///
  /// @return the record's offset.
  std::uint64_t Append(const std::string& stream, const std::string& data);
  /// The records that the stream keeps.
  std::vector<LogRecord> Records(const std::string& stream) const;
  std::uint64_t End(const std::string& stream) const;
  std::uint64_t FirstKept(const std::string& stream) const;

  /// While on, rejects every append and fails every read.
  void SetOutage(bool on);
  /// Like `SetOutage`, for one client only.
  void SetPartitioned(const std::string& client, bool on);
  /// Sets the time from a call to its callback.
  void SetLatency(Duration latency);
  /// Sets how many appends are accepted per second over all streams; 0 means no
  /// limit.
  void SetRateLimit(int appends_per_second);
  /// Loses the responses of the next `count` appends.
  void LoseAnswers(int count, LostAnswer how);
  /// Appends the records that were held back by `kDelayed`.
  void DeliverDelayed();
  /// Removes the records before `first_kept`.
  void Expire(const std::string& stream, std::uint64_t first_kept);
  /// Sets the time after which a record expires; zero means never.
  void SetRetention(Duration retention);

  /// The number of calls made through `access()` so far.
  int appends() const;
  int reads() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_FAKE_LOG_H_
