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

/// A stand-in that the control server can switch and read. All functions are
/// thread safe.
class Component {
 public:
  virtual ~Component() = default;

  /// The name in the control server's paths.
  virtual std::string name() const = 0;
  /// The faults and other settings in force.
  virtual QJsonObject Faults() = 0;
  /// Changes the faults that `json` names.
  ///
  /// @return what is wrong with `json`, or an empty string.
  virtual QString SetFaults(const QJsonObject& json) = 0;
  virtual QJsonObject Counters() = 0;
  /// Runs by request identity; empty for all but backend servers.
  virtual QJsonObject Runs() { return {}; }
};

/// Runs `call` on the object's thread and waits for what it returns.
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
