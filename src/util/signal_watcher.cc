#include "util/signal_watcher.h"

#include <pthread.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <QSocketNotifier>
#include <csignal>
#include <utility>

namespace guavacross::util {

SignalWatcher::SignalWatcher(std::function<void(int)> on_signal)
    : m_on_signal(std::move(on_signal)) {
  sigset_t handled_signals;
  sigemptyset(&handled_signals);
  sigaddset(&handled_signals, SIGTERM);
  sigaddset(&handled_signals, SIGINT);
  sigaddset(&handled_signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &handled_signals, nullptr);
  // Writing to a connection that the peer has closed must not kill the process.
  std::signal(SIGPIPE, SIG_IGN);
  m_descriptor = signalfd(-1, &handled_signals, SFD_NONBLOCK | SFD_CLOEXEC);
  m_notifier =
      std::make_unique<QSocketNotifier>(m_descriptor, QSocketNotifier::Read);
  QObject::connect(m_notifier.get(), &QSocketNotifier::activated,
                   [this] { ReadSignals(); });
}

SignalWatcher::~SignalWatcher() {
  m_notifier.reset();
  close(m_descriptor);
}

void SignalWatcher::ReadSignals() {
  signalfd_siginfo info;
  while (read(m_descriptor, &info, sizeof(info)) ==
         static_cast<ssize_t>(sizeof(info))) {
    m_on_signal(static_cast<int>(info.ssi_signo));
  }
}

}  // namespace guavacross::util
