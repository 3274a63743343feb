#include "serve/router_peer_hooks.h"

#include <string>
#include <utility>

#include "util/log.h"

namespace guavacross::serve {

namespace {

void LogDrain(const DrainNotice& notice, const std::string& told_by) {
  util::LogChange("targets", "target is leaving",
                  {{"target", notice.m_target},
                   {"service", notice.m_service},
                   {"incarnation", notice.m_incarnation},
                   {"told_by", told_by}});
}

void LogLimit(const LimitNotice& notice, const std::string& told_by) {
  util::LogChange(
      "targets",
      notice.m_limit > 0 ? "target names a limit"
                         : "target names no limit any more",
      {{"target", notice.m_target},
       {"service", notice.m_service},
       {"incarnation", notice.m_incarnation},
       {"limit", std::to_string(notice.m_limit)},
       {"age_ms",
        std::to_string(static_cast<std::int64_t>(Milliseconds(notice.m_age)))},
       {"told_by", told_by}});
}

}  // namespace

RouterHooks MakeBroadcastHooks(std::function<void(std::function<void()>)> post,
                               std::function<peers::PeerNetwork*()> peers) {
  // The router calls these hooks on the thread that detected the event.
  RouterHooks hooks;
  hooks.m_on_drain = [post, peers](const DrainNotice& notice) {
    LogDrain(notice, "target");
    post([peers, notice] { peers()->PushDrain(notice); });
  };
  hooks.m_on_limit = [post, peers](const LimitNotice& notice) {
    LogLimit(notice, "target");
    post([peers, notice] { peers()->PushLimit(notice); });
  };
  hooks.m_on_quarantine = [post, peers](const QuarantineNotice& notice) {
    post([peers, notice] { peers()->PushQuarantine(notice); });
  };
  hooks.m_on_suspect = [post, peers](const SuspectNotice& notice) {
    post([peers, notice] { peers()->PushSuspect(notice); });
  };
  return hooks;
}

void SetRouterPeerHooks(Router* router, peers::PeerHooks* hooks) {
  hooks->m_drains = [router] { return router->Drains(); };
  hooks->m_limits = [router] { return router->Limits(); };
  hooks->m_quarantines = [router] { return router->Quarantines(); };
  hooks->m_on_drain = [router](const DrainNotice& notice) {
    if (router->LearnDrain(notice)) {
      LogDrain(notice, "peer");
    }
  };
  hooks->m_on_limit = [router](const LimitNotice& notice) {
    if (router->LearnLimit(notice)) {
      LogLimit(notice, "peer");
    }
  };
  hooks->m_on_quarantine = [router](const QuarantineNotice& notice) {
    router->LearnQuarantine(notice);
  };
  hooks->m_on_suspect = [router](const SuspectNotice& notice) {
    router->LearnSuspect(notice);
  };
  hooks->m_on_in_flight = [router](const auto& peer, const auto& service,
                                   const auto& counts) {
    router->SetPeerInFlight(peer, service, counts);
  };
}

}  // namespace guavacross::serve
