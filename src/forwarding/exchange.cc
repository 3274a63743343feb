#include "forwarding/exchange.h"

#include <QUuid>
#include <algorithm>
#include <utility>

#include "forwarding/forwarded_head.h"
#include "guavacross/wire_names.h"

namespace guavacross::forwarding {

namespace {

// Maximum size of an idempotency key; keys are stored in the platform's log.
constexpr std::size_t kMaxKeyBytes = 256;

// Time allowed for a notice of a lost target to arrive from another instance:
// one or two milliseconds of latency between availability zones, plus delays on
// busy processors at both ends.
constexpr Duration kSuspectDelay = std::chrono::milliseconds(30);

}  // namespace

Exchange::Exchange(RequestForwarder* owner,
                   std::uint64_t id,
                   ForwardRequest request,
                   AnswerHooks hooks)
    : m_owner(owner),
      m_id(id),
      m_request(std::move(request)),
      m_hooks(std::move(hooks)),
      m_body(m_request.m_head,
             /*always_buffer=*/claims(),
             m_request.m_class->m_max_body_bytes) {}

Exchange::~Exchange() = default;

void Exchange::Start() {
  if (!CheckRequest()) {
    return;
  }
  SetRequestId();
  if (m_request.m_deadline != TimePoint::max()) {
    const Duration remaining =
        std::max(m_request.m_deadline - now(), Duration::zero());
    m_deadline_timer =
        context().m_clock.m_call_after(remaining, [this] { OnDeadline(); });
  }
  Admit();
  if (!m_ended && m_body.ready()) {
    OnBodyReady();
  }
}

// A request that a peer has passed on was admitted there.
void Exchange::Admit() {
  if (context().m_tenants.m_admit && !m_request.m_relay.has_value() &&
      !m_request.m_verified_tenant.value_or("").empty()) {
    m_admitting = true;
    const RequestTraits traits{.m_service = m_request.m_service->m_name,
                               .m_class_name = m_request.m_class->m_name,
                               .m_deadline = m_request.m_deadline,
                               .m_caller_timeout = m_request.m_caller_timeout,
                               .m_arrived = m_request.m_arrived};
    m_owner->Admit(m_id, *m_request.m_verified_tenant,
                   context().m_router->IsPastObjective(traits));
  }
}

void Exchange::OnAdmitted(const std::optional<Error>& refusal) {
  m_admitting = false;
  m_admitted = !refusal.has_value();
  if (refusal.has_value()) {
    FailRequest(*refusal);
  } else if (m_body_ready) {
    Proceed();
  }
}

bool Exchange::CheckRequest() {
  const http::RequestHead& head = m_request.m_head;
  const auto max_bytes =
      static_cast<std::uint64_t>(m_request.m_class->m_max_body_bytes);
  if (head.m_framing == http::BodyFraming::kLength &&
      head.m_length > max_bytes) {
    FailRequest(
        {.m_kind = ErrorKind::kBodyTooLarge,
         .m_text = "the class allows " + std::to_string(max_bytes) + " bytes"});
    return false;
  }
  if (!claims()) {
    return true;
  }
  const auto key = head.m_fields.Find(kIdempotencyKeyHeader);
  if (!key.has_value() || key->empty()) {
    FailRequest({.m_kind = ErrorKind::kKeyMissing,
                 .m_text = "requests of class " + m_request.m_class->m_name +
                           " need an Idempotency-Key"});
    return false;
  }
  if (key->size() > kMaxKeyBytes) {
    FailRequest({.m_kind = ErrorKind::kBadRequest,
                 .m_text = "the Idempotency-Key is longer than " +
                           std::to_string(kMaxKeyBytes) + " bytes"});
    return false;
  }
  m_key = RequestKey{.m_service = m_request.m_service->m_name,
                     .m_tenant = m_request.m_key_tenant,
                     .m_key = std::string(*key)};
  return true;
}

bool Exchange::WantsBody() const {
  if (m_body.complete() || m_ended) {
    return true;
  }
  if (!m_body.streamed()) {
    return true;
  }
  return !m_active_attempts.empty() &&
         m_active_attempts.front()->m_attempt->unsent() < kMaxBufferedBytes;
}

void Exchange::OnBody(std::string_view bytes) {
  if (m_ended) {
    return;
  }
  const bool to_attempt = m_body.streamed() && !m_active_attempts.empty();
  const bool was_ready = m_body.ready();
  const bool allowed = to_attempt ? m_body.Count(bytes) : m_body.Append(bytes);
  if (!allowed) {
    OnBodyFailed({.m_kind = ErrorKind::kBodyTooLarge,
                  .m_text = "the body is larger than its class allows"});
    return;
  }
  if (to_attempt) {
    m_active_attempts.front()->m_attempt->SendBody(bytes);
  } else if (!was_ready && m_body.ready()) {
    OnBodyReady();
  }
}

void Exchange::OnBodyEnd() {
  if (m_ended || m_body.complete()) {
    return;
  }
  const bool was_ready = m_body.ready();
  m_body.SetComplete();
  if (!was_ready) {
    OnBodyReady();
  } else if (!m_active_attempts.empty()) {
    m_active_attempts.front()->m_attempt->EndBody();
  }
}

void Exchange::OnBodyFailed(const Error& error) {
  if (m_ended || m_body.complete()) {
    return;
  }
  if (AnySent()) {
    m_worst_outcome = Outcome::kUnknown;
  }
  if (m_winner != nullptr) {
    AbortAnswer();
  } else {
    FailRequest(error);
  }
}

void Exchange::OnBodyReady() {
  m_body_ready = true;
  if (!m_admitting) {
    Proceed();
  }
}

void Exchange::Proceed() {
  SetTraits();
  if (claims()) {
    Claim();
  } else {
    Acquire();
  }
}

void Exchange::SetTraits() {
  RequestTraits traits;
  traits.m_service = m_request.m_service->m_name;
  traits.m_class_name = m_request.m_class->m_name;
  traits.m_tenant = m_request.m_tenant;
  traits.m_fingerprint = m_body.Fingerprint(m_request.m_head);
  traits.m_deadline = m_request.m_deadline;
  traits.m_caller_timeout = m_request.m_caller_timeout;
  traits.m_arrived = m_request.m_arrived;
  if (m_request.m_head.m_framing == http::BodyFraming::kLength) {
    traits.m_body_bytes = m_request.m_head.m_length;
  }
  traits.m_hops = m_request.m_hops;
  if (m_request.m_relay.has_value()) {
    traits.m_relayed = true;
    traits.m_attempts_before = m_request.m_relay->m_attempts;
  }
  m_traits = std::make_shared<const RequestTraits>(std::move(traits));
}

void Exchange::Claim() {
  m_claiming = true;
  m_owner->Claim(m_id, m_key, m_traits->m_fingerprint);
}

void Exchange::OnClaim(ClaimDecision decision) {
  m_claiming = false;
  m_claimed = decision.m_kind == ClaimDecision::Kind::kRun;
  if (!m_caller_waiting) {
    // The caller disconnected or was answered before anything was sent.
    FinishClaim(Outcome::kNotRun);
    End();
    return;
  }
  switch (decision.m_kind) {
    case ClaimDecision::Kind::kRun:
      Acquire();
      break;
    case ClaimDecision::Kind::kReplay:
      Count(Outcome::kDone);
      m_hooks.m_on_answer(ReplayToAnswer(decision.m_answer));
      End();
      break;
    case ClaimDecision::Kind::kRefuse:
      FailRequest(decision.m_error);
      break;
  }
}

// Delays a request that may have crashed a target by the time that a notice of
// the loss takes between instances. A retry by this instance then can't cause a
// second loss before the others know of the first. A retry by the caller may
// reach an instance sooner than a notice of a further loss does; the delay lets
// the notice arrive first.
void Exchange::Acquire() {
  m_acquiring = true;
  m_acquire_started_at = now();
  ++m_acquire_generation;
  if (context().m_router->IsSuspect(*m_traits)) {
    m_suspect_timer = context().m_clock.m_call_after(kSuspectDelay, [this] {
      m_suspect_timer.reset();
      AcquireNow();
    });
  } else {
    AcquireNow();
  }
}

void Exchange::AcquireNow() {
  std::vector<std::string> avoid = m_targets_tried;
  avoid.insert(avoid.end(), m_peers_tried.begin(), m_peers_tried.end());
  m_ticket = m_owner->Acquire(m_id, m_acquire_generation, m_traits, avoid);
}

bool Exchange::WantsGrant(std::uint64_t generation) const {
  return m_acquiring && generation == m_acquire_generation;
}

void Exchange::StopAcquiring() {
  if (std::exchange(m_acquiring, false) &&
      std::exchange(m_suspect_timer, nullptr) == nullptr) {
    // The owner releases a grant that has been posted but not yet handled.
    context().m_router->CancelWait(m_traits->m_service, m_ticket);
  }
}

void Exchange::OnGrant(util::Expected<Grant> grant) {
  m_acquiring = false;
  m_target_wait += now() - m_acquire_started_at;
  if (grant) {
    StartAttempt(std::move(*grant.m_value));
  } else if (m_active_attempts.empty()) {
    // After an attempt, its error is more useful than the lack of another
    // target.
    FailRequest(m_last_error.value_or(grant.m_error));
  }
}

void Exchange::StartAttempt(Grant grant) {
  const bool direct = grant.m_peer.empty();
  (direct ? m_targets_tried : m_peers_tried)
      .push_back(direct ? grant.m_target : grant.m_peer);
  m_active_attempts.push_back(std::make_unique<ActiveAttempt>());
  ActiveAttempt* const added = m_active_attempts.back().get();
  added->m_grant = std::move(grant);
  const bool hedge = m_active_attempts.size() > 1;
  Send(added, /*fresh_connection=*/!repeatable());
  if (!hedge && direct) {
    ArmHedgeTimer();
  }
  if (m_body.streamed()) {
    NotifyBodyWanted();
  }
}

void Exchange::NotifyBodyWanted() {
  if (m_caller_waiting && !m_body.complete()) {
    m_hooks.m_on_body_wanted();
  }
}

http::RequestHead Exchange::HeadToSend(const Grant& grant) const {
  BackendFields backend_fields{.m_hops = m_request.m_hops,
                               .m_tenant = m_request.m_verified_tenant,
                               .m_target = grant.m_target};
  if (m_request.m_deadline != TimePoint::max()) {
    backend_fields.m_remaining = m_request.m_deadline - now();
  }
  if (!grant.m_peer.empty()) {
    backend_fields.m_relay_mark = RelayMarkToSend();
  }
  if (m_body.replayable()) {
    backend_fields.m_body_bytes = m_body.size();
  }
  return HeadForBackend(m_request.m_head, backend_fields,
                        *context().m_target_dialect);
}

// The header that matches answers to requests: the one configured for the
// service, which all of its answers must repeat, or else the target dialect's,
// which backend servers usually repeat.
const std::string& Exchange::RequestIdHeader() const {
  const std::string& required = m_request.m_service->m_request_id_header;
  return required.empty() ? context().m_target_dialect->m_request_id_header
                          : required;
}

// Adds a request id if the service's answers must repeat one and the caller
// sent none.
void Exchange::SetRequestId() {
  const std::string& name = m_request.m_service->m_request_id_header;
  if (name.empty() || m_request.m_head.m_fields.Find(name).has_value()) {
    return;
  }
  m_request.m_head.m_fields.Add(
      name, QUuid::createUuid().toString(QUuid::Id128).toStdString());
}

// Whether an answer belongs to this request. A backend server may send a second
// answer to an earlier request, or an answer before it received any request;
// that of a health check may arrive late.
bool Exchange::MatchesRequestId(const Grant& grant,
                                const http::ResponseHead& head) const {
  const std::string& name = RequestIdHeader();
  if (name.empty()) {
    return true;
  }
  const auto id = head.m_fields.Find(name);
  const auto own_id = m_request.m_head.m_fields.Find(name);
  if (id.has_value()) {
    return id == own_id;
  }
  const bool must_have_id = !m_request.m_service->m_request_id_header.empty() ||
                            (context().m_target_dialect->m_responses_have_id &&
                             own_id.has_value() && grant.m_peer.empty());
  return !must_have_id;
}

void Exchange::Send(ActiveAttempt* sent, bool fresh_connection) {
  backends::AttemptRequest request;
  request.m_address = sent->m_grant.m_address;
  request.m_head = HeadToSend(sent->m_grant);
  request.m_body = m_body.TakeForAttempt();
  request.m_body_complete = m_body.complete();
  request.m_fresh_connection = fresh_connection;
  request.m_id = request.m_head.m_fields.Find(RequestIdHeader()).value_or("");

  backends::AttemptHooks hooks;
  hooks.m_on_head = [this, sent](const http::ResponseHead& head) {
    OnHead(sent, head);
  };
  hooks.m_is_answer = [this, sent](const http::ResponseHead& head) {
    return MatchesRequestId(sent->m_grant, head);
  };
  hooks.m_on_body = [this, sent](std::string_view bytes) {
    OnAnswerBody(sent, bytes);
  };
  hooks.m_on_end = [this, sent] { OnAnswerEnd(sent); };
  hooks.m_on_failure = [this, sent](const backends::AttemptFailure& failure) {
    OnFailure(sent, failure);
  };
  hooks.m_move_to = [this, sent] {
    const bool plain = sent == m_winner && m_caller_waiting && !m_claimed;
    return plain ? m_hooks.m_raw_stream() : nullptr;
  };
  hooks.m_on_moved = [this, sent] {
    sent->m_progress_at = now();
    PauseIfBuffered(sent, 0);
  };
  hooks.m_on_drained = [this] { NotifyBodyWanted(); };
  sent->m_sent_at = now();
  sent->m_attempt =
      context().m_pool->Start(std::move(request), std::move(hooks));
}

void Exchange::ArmHedgeTimer() {
  if (!repeatable() || !m_body.replayable()) {
    return;
  }
  if (const auto delay = context().m_router->HedgeDelay(*m_traits)) {
    m_hedge_timer =
        context().m_clock.m_call_after(*delay, [this] { OnHedgeDue(); });
  }
}

void Exchange::OnHedgeDue() {
  m_hedge_timer.reset();
  const bool may_hedge =
      m_winner == nullptr && m_active_attempts.size() == 1 && !m_acquiring &&
      context().m_router->TryChargeHedge(*m_traits, AttemptsMade());
  if (may_hedge) {
    Acquire();
  }
}

// Frees the attempt's slot if it hasn't been freed before.
void Exchange::ReleaseAttempt(ActiveAttempt* ended, AttemptEnd end) {
  if (std::exchange(ended->m_released, true)) {
    return;
  }
  ended->m_report.m_end = end;
  if (ended->m_answer_status == 0) {
    ended->m_report.m_latency = now() - ended->m_sent_at;
  }
  CountAndLogAttempt(*ended, end);
  context().m_router->Release(ended->m_grant, *m_traits, ended->m_report);
}

void Exchange::EndAttempt(ActiveAttempt* ended, AttemptEnd end) {
  const auto found =
      std::find_if(m_active_attempts.begin(), m_active_attempts.end(),
                   [ended](const auto& each) { return each.get() == ended; });
  if (found == m_active_attempts.end()) {
    return;
  }
  std::unique_ptr<ActiveAttempt> owned = std::move(*found);
  m_active_attempts.erase(found);
  if (m_winner == ended) {
    m_winner = nullptr;
  }
  ReleaseAttempt(owned.get(), end);
  if (end == AttemptEnd::kRefusedNotRun || end == AttemptEnd::kWrongTarget ||
      end == AttemptEnd::kPeerRefused || end == AttemptEnd::kServerError) {
    owned->m_attempt->Discard();
  } else {
    owned->m_attempt->Cancel();
  }
  // One of the attempt's hooks may be running.
  context().m_set->DeleteLater(std::move(owned));
}

void Exchange::EndAttemptsExcept(const ActiveAttempt* kept, AttemptEnd end) {
  std::vector<ActiveAttempt*> ended;
  for (const auto& each : m_active_attempts) {
    if (each.get() != kept) {
      ended.push_back(each.get());
    }
  }
  for (ActiveAttempt* const each : ended) {
    EndAttempt(each, end);
  }
}

bool Exchange::AnySent() const {
  return std::any_of(
      m_active_attempts.begin(), m_active_attempts.end(),
      [](const auto& each) { return each->m_attempt->bytes_sent(); });
}

}  // namespace guavacross::forwarding
