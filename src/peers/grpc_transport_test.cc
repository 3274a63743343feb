#include "peers/grpc_transport.h"

#include <QJsonObject>
#include <QObject>
#include <chrono>
#include <optional>

#include "net/test_peer.h"
#include "standin/proxy.h"
#include "util/qt_clock.h"
#include "util/test_case.h"

namespace guavacross::peers {

namespace {

using net::WaitUntil;
using util::Section;

// Long enough for an answer on a working connection, also on a busy machine.
constexpr Duration kTimeout = std::chrono::milliseconds(300);

// A transport with the test's thread as its control thread.
struct End {
  explicit End(const std::string& ip)
      : m_transport({.m_listen = {.m_ip = ip}}, MakeHooks()) {
    CPPUNIT_ASSERT(m_transport.Start());
  }

  TransportHooks MakeHooks() {
    return {.m_post =
                [this](std::function<void()> call) {
                  QMetaObject::invokeMethod(&m_context, std::move(call),
                                            Qt::QueuedConnection);
                },
            .m_on_request =
                [](const proto::PeerRequest&, const auto& respond) {
                  respond(proto::PeerReply());
                }};
  }

  /// Whether a request was answered in time.
  bool Ask(const Endpoint& peer) {
    std::optional<bool> answered;
    m_transport.Call(
        peer, proto::PeerRequest(), kTimeout,
        [&answered](const auto& reply) { answered = reply.has_value(); });
    WaitUntil([&answered] { return answered.has_value(); });
    return *answered;
  }

  QObject m_context;
  GrpcTransport m_transport;
};

}  // namespace

GUAVACROSS_TEST_CASE(SilentPeerConnection) {
  End server("127.0.7.3");
  End client("127.0.7.4");
  standin::Proxy proxy("way", server.m_transport.listen_address(),
                       util::QtClock());
  CPPUNIT_ASSERT(proxy.Listen({.m_ip = "127.0.7.5"}));
  WaitUntil([&] { return client.Ask(proxy.endpoint()); });

  Section("stays open but delivers no answer", [&] {
    CPPUNIT_ASSERT(proxy.SetFaults({{"silence_now", true}}).isEmpty());
    CPPUNIT_ASSERT(!client.Ask(proxy.endpoint()));
  });
  Section("is replaced by a new one, which delivers answers", [&] {
    WaitUntil([&] { return client.Ask(proxy.endpoint()); });
    CPPUNIT_ASSERT(proxy.Counters()["accepted"].toInt() > 1);
  });
}

// Guards against calls that fail although the peer is up again, as long as the
// connection waits to connect: the peer was taken for lost.
GUAVACROSS_TEST_CASE(ConnectionToAPeerThatIsUpAgain) {
  End server("127.0.7.6");
  End client("127.0.7.7");
  standin::Proxy proxy("way", server.m_transport.listen_address(),
                       util::QtClock());
  CPPUNIT_ASSERT(proxy.Listen({.m_ip = "127.0.7.8"}));
  WaitUntil([&] { return client.Ask(proxy.endpoint()); });

  Section("a connection that works is kept", [&] {
    const int accepted = proxy.Counters()["accepted"].toInt();
    client.m_transport.RenewFailedConnection(proxy.endpoint());
    CPPUNIT_ASSERT(client.Ask(proxy.endpoint()));
    CPPUNIT_ASSERT_EQUAL(accepted, proxy.Counters()["accepted"].toInt());
  });
  Section("one that fails calls at once is replaced", [&] {
    CPPUNIT_ASSERT(
        proxy.SetFaults({{"reset_on_connect", true}, {"reset_now", true}})
            .isEmpty());
    // The time between attempts to connect rises with each that fails.
    const int resets = proxy.Counters()["resets"].toInt();
    WaitUntil([&] {
      return !client.Ask(proxy.endpoint()) &&
             proxy.Counters()["resets"].toInt() > resets + 6;
    });
    CPPUNIT_ASSERT(proxy.SetFaults({{"reset_on_connect", false}}).isEmpty());
    client.m_transport.RenewFailedConnection(proxy.endpoint());
    CPPUNIT_ASSERT(client.Ask(proxy.endpoint()));
  });
}

}  // namespace guavacross::peers
