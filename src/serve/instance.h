#ifndef GUAVACROSS_SERVE_INSTANCE_H_
#define GUAVACROSS_SERVE_INSTANCE_H_

#include <functional>
#include <memory>

#include "guavacross/error.h"
#include "guavacross/identity.h"
#include "guavacross/settings.h"
#include "guavacross/time.h"

namespace guavacross::serve {

/// One entry instance: creates all components and connects them.
///
/// Construct it on the thread that is to be the control thread, call `Start`,
/// and run the event loop. `Shutdown` stops it gracefully; destruction stops it
/// at once, as a crash would. A process may hold several instances, on one
/// control thread or on several. Not thread safe.
class Instance {
 public:
  Instance(InstanceSettings settings, Clock clock);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// Listens on all addresses and starts to load the configuration.
  ///
  /// @return true. Errors: `kBadSettings` for an address that can't be used.
  Result<bool> Start();

  /// Removes this instance from the address lists given to callers, keeps
  /// accepting connections for the address lifetime, finishes all open
  /// requests, hands the table of non-repeatable requests over to a peer, then
  /// calls `on_done` once.
  void Shutdown(std::function<void()> on_done);

  /// The address that callers connect to.
  Endpoint callers_endpoint() const;

  /// Whether a configuration is in force, so that requests are served.
  bool ready() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_INSTANCE_H_
