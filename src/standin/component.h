#ifndef GUAVACROSS_STANDIN_COMPONENT_H_
#define GUAVACROSS_STANDIN_COMPONENT_H_

#include <QJsonObject>
#include <QMetaObject>
#include <QObject>
#include <QString>
#include <QThread>
#include <string>
#include <utility>

namespace guavacross::standin {

/// A stand-in whose faults and counters are accessible through the control
/// server. All functions are thread safe.
class Component {
 public:
  virtual ~Component() = default;

  /// The name used in the control server's paths.
  virtual std::string name() const = 0;
  /// The current faults and other settings.
  virtual QJsonObject Faults() = 0;
  /// Sets the faults named in `json`; others are unchanged.
  ///
  /// @return an error message, or an empty string on success.
  virtual QString SetFaults(const QJsonObject& json) = 0;
  virtual QJsonObject Counters() = 0;
  /// Number of runs by request identity; empty except for backend servers.
  virtual QJsonObject Runs() { return {}; }
};

/// Runs `call` on the object's thread, blocks until it has finished and returns
/// its result.
template <class Call>
auto CallOn(QObject* object, Call&& call) -> decltype(call()) {
  if (object->thread() == QThread::currentThread()) {
    return call();
  }
  if constexpr (std::is_void_v<decltype(call())>) {
    QMetaObject::invokeMethod(object, std::forward<Call>(call),
                              Qt::BlockingQueuedConnection);
  } else {
    decltype(call()) result{};
    QMetaObject::invokeMethod(
        object, [&] { result = call(); }, Qt::BlockingQueuedConnection);
    return result;
  }
}

}  // namespace guavacross::standin

#endif  // GUAVACROSS_STANDIN_COMPONENT_H_
