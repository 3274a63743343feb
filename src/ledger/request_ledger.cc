#include "ledger/request_ledger.h"

#include <map>
#include <utility>

namespace guavacross::ledger {

struct RequestLedger::Impl {
  struct Held {
    std::uint64_t m_fingerprint = 0;
    bool m_ended = false;
    ClaimEnd m_end;
  };

  ClaimDecision Claim(const RequestKey& key, std::uint64_t fingerprint) {
    const auto [it, is_new] =
        m_held.try_emplace(key, Held{.m_fingerprint = fingerprint});
    const Held& held = it->second;
    if (is_new) {
      return {.m_kind = ClaimDecision::Kind::kRun};
    }
    if (held.m_fingerprint != fingerprint) {
      return {.m_error = {.m_kind = ErrorKind::kKeyConflict,
                          .m_text = "the key was used for another request"}};
    }
    if (!held.m_ended) {
      return {.m_error = {.m_kind = ErrorKind::kKeyInProgress}};
    }
    if (held.m_end.m_outcome == Outcome::kDone) {
      return {.m_kind = ClaimDecision::Kind::kReplay,
              .m_answer = held.m_end.m_answer};
    }
    return {.m_error = {.m_kind = ErrorKind::kOutcomeLost}};
  }

  void Finish(const RequestKey& key, ClaimEnd end) {
    if (end.m_outcome == Outcome::kNotRun) {
      m_held.erase(key);
      return;
    }
    Held& held = m_held[key];
    held.m_ended = true;
    held.m_end = std::move(end);
  }

  LedgerOptions m_options;
  LedgerHooks m_hooks;
  std::map<RequestKey, Held> m_held;
};

RequestLedger::RequestLedger(LedgerOptions options, LedgerHooks hooks)
    : m_impl(std::make_shared<Impl>()) {
  m_impl->m_options = std::move(options);
  m_impl->m_hooks = std::move(hooks);
}

RequestLedger::~RequestLedger() = default;

void RequestLedger::Start() {}

LedgerAccess RequestLedger::access() {
  LedgerAccess access;
  access.m_claim = [impl = m_impl](const RequestKey& key,
                                   std::uint64_t fingerprint,
                                   std::function<void(ClaimDecision)> decide) {
    impl->m_hooks.m_post([impl, key, fingerprint, decide = std::move(decide)] {
      decide(impl->Claim(key, fingerprint));
    });
  };
  access.m_finish = [impl = m_impl](const RequestKey& key, ClaimEnd end) {
    impl->m_hooks.m_post([impl, key, end = std::move(end)]() mutable {
      impl->Finish(key, std::move(end));
    });
  };
  return access;
}

std::string RequestLedger::MintIdentity() {
  return "gx1." + m_impl->m_options.m_self.m_name + "." +
         std::to_string(m_impl->m_options.m_self.m_incarnation) + ".0";
}

void RequestLedger::AnswerPeer(const LedgerQuestion& /*question*/,
                               std::function<void(LedgerReply)> reply) {
  reply({});
}

bool RequestLedger::TakeHandover(const LedgerHandover& /*part*/) {
  return false;
}

void RequestLedger::HandOver(std::function<void()> done) {
  done();
}

bool RequestLedger::caught_up() const {
  return true;
}

}  // namespace guavacross::ledger
