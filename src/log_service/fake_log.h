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

/// How an append whose answer is lost ends in the log.
enum class LostAnswer {
  /// The record is in the log.
  kApplied,
  /// The record never gets there.
  kNotApplied,
  /// The record gets there when `DeliverDelayed` is called.
  kDelayed,
};

/// A log service in memory, for tests and demonstrations.
///
/// Give `access()` to the code under test, switch faults on, and advance the
/// clock: every answer comes through a timer of the clock that it was made
/// with, after `SetLatency`. Not thread safe.
class FakeLog {
 public:
  explicit FakeLog(Clock clock);
  ~FakeLog();
  FakeLog(const FakeLog&) = delete;
  FakeLog& operator=(const FakeLog&) = delete;

  /// Access as one client sees it; may be used after the log is destroyed, when
  /// no callback comes. Clients have faults of their own: see `SetCutOff`.
  LogAccess access(const std::string& client = "");

  /// Appends without faults.
  ///
  /// @return the record's offset.
  std::uint64_t Append(const std::string& stream, const std::string& data);
  /// The records that the log keeps.
  std::vector<LogRecord> Records(const std::string& stream) const;
  std::uint64_t End(const std::string& stream) const;
  std::uint64_t FirstKept(const std::string& stream) const;

  /// While on, every append is rejected and every read fails.
  void SetOutage(bool on);
  /// The same for one client.
  void SetCutOff(const std::string& client, bool on);
  /// The time from a call to its answer.
  void SetLatency(Duration latency);
  /// Appends taken per second, over all streams; 0 means no limit.
  void SetRateLimit(int appends_per_second);
  /// The answers of the next `count` appends are lost.
  void LoseAnswers(int count, LostAnswer how);
  /// Appends the records of lost answers of kind `kDelayed`.
  void DeliverDelayed();
  /// Removes the records before `first_kept`.
  void Expire(const std::string& stream, std::uint64_t first_kept);
  /// Records expire this long after their append; zero means never.
  void SetRetention(Duration retention);

  /// The calls made so far.
  int appends() const;
  int reads() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_FAKE_LOG_H_
