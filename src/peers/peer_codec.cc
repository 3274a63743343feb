#include "peers/peer_codec.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace guavacross::peers {

namespace {

using ledger::HandedClaim;
using ledger::LedgerHandover;
using ledger::LedgerQuestion;
using ledger::LedgerReply;

constexpr std::uint32_t kMaxPort = 65535;
// Longest duration accepted from a peer, so that sums of times can't overflow.
constexpr std::uint64_t kMaxDurationMs = 366ULL * 24 * 3600 * 1000;

std::uint64_t ToWireMilliseconds(Duration duration) {
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0));
}

Duration FromWireMilliseconds(std::uint64_t count) {
  return std::chrono::milliseconds(std::min(count, kMaxDurationMs));
}

void FromInstance(const InstanceId& id, proto::Instance* out) {
  out->set_name(id.m_name);
  out->set_incarnation(id.m_incarnation);
}

InstanceId ToInstance(const proto::Instance& in) {
  return {.m_name = in.name(), .m_incarnation = in.incarnation()};
}

void FromKey(const ledger::KeyHash& key, proto::Key* out) {
  out->set_high(key.m_high);
  out->set_low(key.m_low);
}

ledger::KeyHash ToKey(const proto::Key& in) {
  return {.m_high = in.high(), .m_low = in.low()};
}

void FromAnswer(const RecordedAnswer& answer, proto::RecordedAnswer* out) {
  out->set_status(answer.m_status);
  for (const auto& [name, value] : answer.m_headers) {
    out->add_header_names(name);
    out->add_header_values(value);
  }
  out->set_body(answer.m_body);
}

bool ToAnswer(const proto::RecordedAnswer& in, RecordedAnswer* answer) {
  if (in.header_names_size() != in.header_values_size()) {
    return false;
  }
  answer->m_status = in.status();
  for (int i = 0; i < in.header_names_size(); ++i) {
    answer->m_headers.emplace_back(in.header_names(i), in.header_values(i));
  }
  answer->m_body = in.body();
  return true;
}

void FromHandedClaim(const HandedClaim& claim, proto::HandedClaim* out) {
  FromKey(claim.m_key, out->mutable_key());
  out->set_fingerprint(claim.m_fingerprint);
  out->set_attempt(claim.m_attempt);
  out->set_minted(claim.m_minted);
  if (claim.m_given_to) {
    FromInstance(*claim.m_given_to, out->mutable_given_to());
  }
  out->set_outcome(static_cast<std::uint32_t>(claim.m_end.m_outcome));
  if (claim.m_end.m_outcome == Outcome::kDone) {
    FromAnswer(claim.m_end.m_answer, out->mutable_answer());
  }
}

bool ToHandedClaim(const proto::HandedClaim& in, HandedClaim* claim) {
  if (in.outcome() > static_cast<std::uint32_t>(Outcome::kUnknown) ||
      !in.has_key()) {
    return false;
  }
  claim->m_key = ToKey(in.key());
  claim->m_fingerprint = in.fingerprint();
  claim->m_attempt = in.attempt();
  claim->m_minted = in.minted();
  if (in.has_given_to()) {
    claim->m_given_to = ToInstance(in.given_to());
  }
  claim->m_end.m_outcome = static_cast<Outcome>(in.outcome());
  return ToAnswer(in.answer(), &claim->m_end.m_answer);
}

}  // namespace

void FromEndpoint(const Endpoint& endpoint, proto::Address* out) {
  out->set_ip(endpoint.m_ip);
  out->set_port(endpoint.m_port);
}

Endpoint ToEndpoint(const proto::Address& in) {
  return {.m_ip = in.ip(),
          .m_port = static_cast<std::uint16_t>(std::min(in.port(), kMaxPort))};
}

void FromRumor(const Rumor& rumor, proto::Rumor* out) {
  out->set_name(rumor.m_id.m_name);
  out->set_incarnation(rumor.m_id.m_incarnation);
  out->set_age_ms(static_cast<std::uint32_t>(ToWireMilliseconds(rumor.m_age)));
  out->set_leaving(rumor.m_leaving);
  FromEndpoint(rumor.m_peers, out->mutable_peers());
  out->set_number(rumor.m_number);
}

Rumor ToRumor(const proto::Rumor& in) {
  return {.m_id = {.m_name = in.name(), .m_incarnation = in.incarnation()},
          .m_age = FromWireMilliseconds(in.age_ms()),
          .m_leaving = in.leaving(),
          .m_peers = ToEndpoint(in.peers()),
          .m_number = in.number()};
}

void FromSection(const SectionState& section, proto::Section* out) {
  out->set_name(section.m_section);
  out->set_team(section.m_team);
  out->set_version(section.m_version);
  out->set_toml(section.m_toml);
  out->set_schema(section.m_schema);
  for (const auto& [schema, toml] : section.m_fallbacks) {
    proto::SectionText* const text = out->add_fallbacks();
    text->set_schema(schema);
    text->set_toml(toml);
  }
}

SectionState ToSection(const proto::Section& in) {
  SectionState section{.m_section = in.name(),
                       .m_team = in.team(),
                       .m_version = in.version(),
                       .m_toml = in.toml(),
                       .m_schema = in.schema()};
  for (const proto::SectionText& text : in.fallbacks()) {
    section.m_fallbacks[text.schema()] = text.toml();
  }
  return section;
}

void FromDrain(const DrainNotice& notice, proto::Drain* out) {
  out->set_service(notice.m_service);
  out->set_target(notice.m_target);
  out->set_incarnation(notice.m_incarnation);
}

DrainNotice ToDrain(const proto::Drain& in) {
  return {.m_service = in.service(),
          .m_target = in.target(),
          .m_incarnation = in.incarnation()};
}

void FromLimit(const LimitNotice& notice, proto::Limit* out) {
  out->set_service(notice.m_service);
  out->set_target(notice.m_target);
  out->set_incarnation(notice.m_incarnation);
  out->set_limit(notice.m_limit);
  out->set_age_ms(ToWireMilliseconds(notice.m_age));
}

LimitNotice ToLimit(const proto::Limit& in) {
  return {.m_service = in.service(),
          .m_target = in.target(),
          .m_incarnation = in.incarnation(),
          .m_limit = std::isfinite(in.limit()) ? std::max(0.0, in.limit()) : 0,
          .m_age = FromWireMilliseconds(in.age_ms())};
}

void FromReach(const ReachState& reach, proto::Reach* out) {
  out->set_lost(reach.m_lost);
  if (reach.m_answer_age.has_value()) {
    out->set_answer_age_ms(
        static_cast<std::uint32_t>(ToWireMilliseconds(*reach.m_answer_age)));
  }
  for (const std::uint32_t hash : reach.m_impaired) {
    out->add_impaired(hash);
  }
  for (const auto& [name, age] : reach.m_reaching_peers) {
    proto::ReachingPeer* const peer = out->add_reaching_peers();
    peer->set_name(name);
    peer->set_answer_age_ms(
        static_cast<std::uint32_t>(ToWireMilliseconds(age)));
  }
}

ReachState ToReach(const proto::Reach& in) {
  ReachState reach{.m_lost = in.lost()};
  if (in.has_answer_age_ms()) {
    reach.m_answer_age = FromWireMilliseconds(in.answer_age_ms());
  }
  reach.m_impaired.assign(in.impaired().begin(), in.impaired().end());
  for (const proto::ReachingPeer& peer : in.reaching_peers()) {
    reach.m_reaching_peers.emplace_back(
        peer.name(), FromWireMilliseconds(peer.answer_age_ms()));
  }
  return reach;
}

void FromQuarantine(const QuarantineNotice& notice, proto::Quarantine* out) {
  out->set_fingerprint(notice.m_fingerprint);
  out->set_remaining_ms(ToWireMilliseconds(notice.m_remaining));
}

QuarantineNotice ToQuarantine(const proto::Quarantine& in) {
  return {.m_fingerprint = in.fingerprint(),
          .m_remaining = FromWireMilliseconds(in.remaining_ms())};
}

void FromSuspect(const SuspectNotice& notice, proto::Suspect* out) {
  out->set_fingerprint(notice.m_fingerprint);
  out->set_service(notice.m_service);
  out->set_target(notice.m_target);
}

SuspectNotice ToSuspect(const proto::Suspect& in) {
  return {.m_fingerprint = in.fingerprint(),
          .m_service = in.service(),
          .m_target = in.target()};
}

void FromQuestion(const LedgerQuestion& question, proto::Question* out) {
  out->set_kind(static_cast<std::uint32_t>(question.m_kind));
  FromKey(question.m_key, out->mutable_key());
  out->set_fingerprint(question.m_fingerprint);
  out->set_attempt(question.m_attempt);
  if (!question.m_minter.m_name.empty()) {
    FromInstance(question.m_minter, out->mutable_minter());
  }
  out->set_minted_ms(question.m_minted_ms);
}

bool ToQuestion(const proto::Question& in,
                const InstanceId& asker,
                LedgerQuestion* question) {
  if (in.kind() > static_cast<std::uint32_t>(LedgerQuestion::Kind::kMayRun) ||
      !in.has_key()) {
    return false;
  }
  question->m_kind = static_cast<LedgerQuestion::Kind>(in.kind());
  question->m_asker = asker;
  question->m_key = ToKey(in.key());
  question->m_fingerprint = in.fingerprint();
  question->m_attempt = in.attempt();
  // Without a name there is no minter, whatever else the message has of it.
  question->m_minter =
      in.minter().name().empty() ? InstanceId() : ToInstance(in.minter());
  question->m_minted_ms = in.minted_ms();
  return true;
}

void FromReply(const LedgerReply& reply, proto::Answer* out) {
  out->set_status(static_cast<std::uint32_t>(reply.m_status));
  out->set_attempt(reply.m_attempt);
  if (reply.m_status == LedgerReply::Status::kDone) {
    FromAnswer(reply.m_answer, out->mutable_answer());
  }
}

bool ToReply(const proto::Answer& in, LedgerReply* reply) {
  if (in.status() > static_cast<std::uint32_t>(LedgerReply::Status::kFull)) {
    return false;
  }
  reply->m_status = static_cast<LedgerReply::Status>(in.status());
  reply->m_attempt = in.attempt();
  return ToAnswer(in.answer(), &reply->m_answer);
}

namespace {

double FinitePositive(double value) {
  return std::isfinite(value) && value > 0 ? value : 0;
}

void FromQuotaReserve(const policy::QuotaReserve& reserve,
                      proto::QuotaReserve* out) {
  out->set_rate_per_s(reserve.m_rate);
  out->set_free_per_s(reserve.m_free_rate);
}

policy::QuotaReserve ToQuotaReserve(const proto::QuotaReserve& in) {
  return {.m_rate = FinitePositive(in.rate_per_s()),
          .m_free_rate = FinitePositive(in.free_per_s())};
}

}  // namespace

void FromQuotaQuestion(const policy::QuotaQuestion& question,
                       proto::QuotaQuestion* out) {
  out->set_tenant(question.m_tenant);
  out->set_rate_per_s(question.m_limit.m_rate);
  out->set_burst(question.m_limit.m_burst);
  out->set_wanted(question.m_wanted);
  out->set_returned(question.m_returned);
  if (question.m_reserve.has_value()) {
    FromQuotaReserve(*question.m_reserve, out->mutable_reserve());
  }
}

policy::QuotaQuestion ToQuotaQuestion(const proto::QuotaQuestion& in) {
  policy::QuotaQuestion question{
      .m_tenant = in.tenant(),
      .m_limit = {.m_rate = FinitePositive(in.rate_per_s()),
                  .m_burst = FinitePositive(in.burst())},
      .m_wanted = in.wanted(),
      .m_returned = in.returned()};
  if (in.has_reserve()) {
    question.m_reserve = ToQuotaReserve(in.reserve());
  }
  return question;
}

void FromQuotaAnswer(const policy::QuotaAnswer& answer,
                     proto::QuotaAnswer* out) {
  out->set_granted(answer.m_granted);
  out->set_retry_after_ms(
      static_cast<std::uint32_t>(ToWireMilliseconds(answer.m_retry_after)));
  if (answer.m_reserve.has_value()) {
    FromQuotaReserve(*answer.m_reserve, out->mutable_reserve());
  }
}

policy::QuotaAnswer ToQuotaAnswer(const proto::QuotaAnswer& in) {
  policy::QuotaAnswer answer{
      .m_granted = in.granted(),
      .m_retry_after = FromWireMilliseconds(in.retry_after_ms())};
  if (in.has_reserve()) {
    answer.m_reserve = ToQuotaReserve(in.reserve());
  }
  return answer;
}

void FromHandover(const LedgerHandover& part, proto::Handover* out) {
  for (const HandedClaim& claim : part.m_claims) {
    FromHandedClaim(claim, out->add_claims());
  }
  out->set_last(part.m_last);
  for (const InstanceId& minter : part.m_minters) {
    FromInstance(minter, out->add_minters());
  }
  for (const std::uint64_t age_ms : part.m_ages_ms) {
    out->add_ages_ms(age_ms);
  }
}

bool ToHandover(const proto::Handover& in,
                const InstanceId& from,
                LedgerHandover* part) {
  if (in.minters_size() != in.ages_ms_size()) {
    return false;
  }
  part->m_from = from;
  part->m_last = in.last();
  for (const proto::HandedClaim& claim : in.claims()) {
    part->m_claims.emplace_back();
    if (!ToHandedClaim(claim, &part->m_claims.back())) {
      return false;
    }
  }
  for (const proto::Instance& minter : in.minters()) {
    part->m_minters.push_back(ToInstance(minter));
  }
  for (const std::uint64_t age_ms : in.ages_ms()) {
    part->m_ages_ms.push_back(std::min(age_ms, kMaxDurationMs));
  }
  return true;
}

}  // namespace guavacross::peers
