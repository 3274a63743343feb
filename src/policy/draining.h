#ifndef GUAVACROSS_POLICY_DRAINING_H_
#define GUAVACROSS_POLICY_DRAINING_H_

#include <string>
#include <vector>

namespace guavacross::policy {

/// Whether one target is draining.
///
/// Any source may report it: an answer, a probe or a peer. It then holds for
/// that run of the backend server, whatever its health endpoint reports
/// afterwards, and ends when another run, with another incarnation, answers at
/// the address. If a backend server doesn't report incarnations, a new run is
/// assumed once a connection to the address has failed and the target's next
/// report is not draining. Not thread safe.
class Draining {
 public:
  /// What an update has changed.
  struct Change {
    bool m_started_draining = false;
    /// Another run of the backend server than before answers.
    bool m_restarted = false;

    bool operator==(const Change&) const = default;
  };

  /// Processes a report of the target itself; `incarnation` is empty if not
  /// reported.
  Change UpdateFromTarget(bool draining, const std::string& incarnation);

  /// Processes a peer's notice that a run of the target drains. A run that this
  /// instance has seen replaced is ignored; any other is taken for the current
  /// one until the target reports another.
  Change UpdateFromPeer(const std::string& incarnation);

  /// A connection to the target failed.
  void ConnectFailed() { m_connect_failed = true; }

  bool is_draining() const { return m_draining; }
  const std::string& incarnation() const { return m_incarnation; }

 private:
  // The current run's incarnation; empty if not reported.
  std::string m_incarnation;
  bool m_draining = false;
  bool m_connect_failed = false;
  // Incarnations seen draining, and incarnations seen replaced, oldest first.
  // Vectors, because they are mostly empty and exist per target: an empty
  // std::deque would take 600 bytes.
  std::vector<std::string> m_drained_runs;
  std::vector<std::string> m_replaced_runs;
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_DRAINING_H_
