#include "log_service/publisher.h"

#include <utility>

namespace guavacross::log_service {

namespace {

/// Short, because a waiting read can't be interrupted when `Publish` needs the
/// log's end.
constexpr Duration kReadWait = std::chrono::milliseconds(100);

constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);

}  // namespace

Publisher::Publisher(PublisherOptions options, LogAccess access, Clock clock)
    : m_options(options),
      m_access(access),
      m_clock(clock),
      m_backoff(kFirstBackoff, kMaxBackoff, options.m_seed),
      m_follower({.m_read_wait = kReadWait, .m_seed = options.m_seed},
                 std::move(access),
                 std::move(clock),
                 {.m_on_verdict = [this](const EditVerdict& verdict) {
                   HandleVerdict(verdict);
                 }}) {}

void Publisher::Load(std::function<void(bool)> done) {
  m_on_load = std::move(done);
  const auto end = [this](bool loaded) {
    m_deadline.reset();
    if (const auto call = std::exchange(m_on_load, nullptr)) {
      call(loaded);
    }
  };
  m_deadline =
      m_clock.m_call_after(m_options.m_deadline, [end] { end(false); });
  m_follower.CatchUp([end] { end(true); });
  m_follower.Start();
}

void Publisher::Publish(const ConfigEdit& edit,
                        std::function<void(util::Expected<EditVerdict>)> done) {
  m_edit = edit;
  m_on_result = std::move(done);
  m_may_be_in_log = false;
  m_deadline =
      m_clock.m_call_after(m_options.m_deadline, [this] { HandleDeadline(); });
  const auto seen = state().m_recent_edits.find(edit.m_edit_id);
  if (seen != state().m_recent_edits.end()) {
    HandleVerdict(seen->second);
    return;
  }
  Append();
}

void Publisher::Append() {
  const std::weak_ptr<char> alive = m_alive;
  m_access.m_append(kConfigStream, EncodeEdit(m_edit),
                    [this, alive](const AppendResult& result) {
                      if (!alive.expired() && m_on_result) {
                        HandleAppend(result);
                      }
                    });
}

void Publisher::HandleAppend(const AppendResult& result) {
  if (result.m_end == AppendEnd::kRejected) {
    ScheduleAppend();
    return;
  }
  m_may_be_in_log = true;
  // If the record is in the log, `HandleVerdict` is called before the end is
  // reached.
  m_follower.CatchUp([this] {
    if (m_on_result) {
      ScheduleAppend();
    }
  });
}

void Publisher::ScheduleAppend() {
  m_timer = m_clock.m_call_after(m_backoff.Next(), [this] {
    if (m_on_result) {
      Append();
    }
  });
}

void Publisher::HandleVerdict(const EditVerdict& verdict) {
  if (!m_on_result || verdict.m_edit_id != m_edit.m_edit_id) {
    return;
  }
  if (verdict.m_accepted) {
    Finish({.m_value = verdict});
  } else {
    Finish({.m_error = {.m_kind = ErrorKind::kPublishConflict,
                        .m_text = verdict.m_reason}});
  }
}

void Publisher::HandleDeadline() {
  if (m_may_be_in_log) {
    Finish({.m_error = {.m_kind = ErrorKind::kAppendUnclear,
                        .m_text = "the edit may be in the log"}});
  } else {
    Finish({.m_error = {.m_kind = ErrorKind::kLogUnavailable,
                        .m_text = "the log service takes no appends"}});
  }
}

void Publisher::Finish(util::Expected<EditVerdict> end) {
  m_deadline.reset();
  m_timer.reset();
  m_backoff.Reset();
  // The callback may publish the next edit, so `m_on_result` is cleared first.
  const auto call = std::exchange(m_on_result, nullptr);
  call(std::move(end));
}

}  // namespace guavacross::log_service
