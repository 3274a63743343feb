#ifndef GUAVACROSS_POLICY_DRAINING_H_
#define GUAVACROSS_POLICY_DRAINING_H_

#include <string>
#include <vector>

namespace guavacross::policy {

/// Whether one target is leaving.
///
/// Any source may say so: an answer, a probe or a peer. It then holds for that
/// run of the backend server, whatever its health endpoint says afterwards, and
/// ends when another run, with another incarnation, answers at the address. If
/// a backend server doesn't tell incarnations, a new run is assumed once the
/// address has refused a connection and then answers as not draining. Not
/// thread safe.
class Draining {
 public:
  /// What learning something has changed.
  struct Change {
    bool m_started_draining = false;
    /// Another run of the backend server than before.
    bool m_restarted = false;

    bool operator==(const Change&) const = default;
  };

  /// Takes in what the target itself says; `incarnation` is empty if not told.
  Change LearnFromTarget(bool draining, const std::string& incarnation);

  /// Takes in a peer's notice that a run of the target drains. A run that this
  /// instance has seen replaced is ignored; any other is taken for the present
  /// one until the target says otherwise.
  Change LearnFromPeer(const std::string& incarnation);

  /// A connection to the target failed.
  void ConnectFailed() { m_connect_failed = true; }

  bool is_draining() const { return m_draining; }
  const std::string& incarnation() const { return m_incarnation; }

 private:
  // The present run's name; empty if not told.
  std::string m_incarnation;
  bool m_draining = false;
  bool m_connect_failed = false;
  // Runs that were seen draining, and runs that were seen replaced, oldest
  // first. Mostly empty, and there is one per target: an empty std::deque would
  // take 600 bytes.
  std::vector<std::string> m_drained_runs;
  std::vector<std::string> m_past_runs;
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_DRAINING_H_
