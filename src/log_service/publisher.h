#ifndef GUAVACROSS_LOG_SERVICE_PUBLISHER_H_
#define GUAVACROSS_LOG_SERVICE_PUBLISHER_H_

#include <functional>
#include <memory>

#include "guavacross/config_state.h"
#include "guavacross/log_service.h"
#include "guavacross/time.h"
#include "log_service/backoff.h"
#include "log_service/config_follower.h"
#include "util/handle.h"

namespace guavacross::log_service {

struct PublisherOptions {
  /// The time limit for loading and for publishing one edit.
  Duration m_deadline = std::chrono::seconds(30);
  std::uint64_t m_seed = 1;
};

/// Appends edits to the config stream and reports the verdicts on them.
///
/// Construct it, call `Load`, read the current sections from `state()`, then
/// `Publish` edits one at a time. An append is repeated until the edit's record
/// is read back. Each repetition has the same edit id, so the edit takes effect
/// at most once. After an append with unclear outcome the log is read to its
/// end before the append is repeated. Not thread safe: to be used on one
/// thread.
class Publisher {
 public:
  Publisher(PublisherOptions options, LogAccess access, Clock clock);
  Publisher(const Publisher&) = delete;
  Publisher& operator=(const Publisher&) = delete;

  /// Reads the log to its end. `done` receives whether this succeeded within
  /// the deadline.
  void Load(std::function<void(bool)> done);

  const ConfigSnapshot& state() const { return m_follower.fold().state(); }

  /// Publishes one edit. Errors passed to `done`: `kPublishConflict` with the
  /// reason for the refusal; `kLogUnavailable` if the record is certainly not
  /// in the log; `kAppendUnclear` if it is or may later get into the log. In
  /// that case the same edit can safely be published again with the same edit
  /// id.
  void Publish(const ConfigEdit& edit,
               std::function<void(util::Expected<EditVerdict>)> done);

 private:
  void Append();
  void HandleAppend(const AppendResult& result);
  void ScheduleAppend();
  void HandleVerdict(const EditVerdict& verdict);
  void HandleDeadline();
  void Finish(util::Expected<EditVerdict> end);

  PublisherOptions m_options;
  LogAccess m_access;
  Clock m_clock;
  Backoff m_backoff;
  std::function<void(bool)> m_on_load;
  ConfigEdit m_edit;
  std::function<void(util::Expected<EditVerdict>)> m_on_result;
  bool m_may_be_in_log = false;
  std::unique_ptr<Timer> m_deadline;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<char> m_alive = std::make_shared<char>();
  ConfigFollower m_follower;
};

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_PUBLISHER_H_
