#ifndef GUAVACROSS_SERVE_INSTANCE_H_
#define GUAVACROSS_SERVE_INSTANCE_H_

#include <functional>
#include <memory>

#include "guavacross/error.h"
#include "guavacross/identity.h"
#include "guavacross/settings.h"
#include "guavacross/time.h"

namespace guavacross::serve {

/// One entry instance: every package wired together.
///
/// Construct it on the thread that becomes the control thread, call `Start`,
/// and run the event loop. `Shutdown` ends it gracefully; destruction ends it
/// at once, as a crash would. Several may live in one process, on one control
/// thread or on several. Not thread safe.
class Instance {
 public:
  Instance(InstanceSettings settings, Clock clock);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// Listens on all addresses and begins to load the configuration.
  ///
  /// @return true. Errors: `kBadSettings` for an address that can't be used.
  Result<bool> Start();

  /// Leaves the address answers, goes on accepting for as long as a caller may
  /// keep an address, finishes every open request, hands the table of
  /// non-repeatable requests to a peer, then calls `on_done` once.
  void Shutdown(std::function<void()> on_done);

  /// Where callers connect.
  Endpoint callers_endpoint() const;

  /// Whether requests are served.
  bool ready() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_INSTANCE_H_
