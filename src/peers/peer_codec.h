#ifndef GUAVACROSS_PEERS_PEER_CODEC_H_
#define GUAVACROSS_PEERS_PEER_CODEC_H_

#include "guavacross/config_state.h"
#include "guavacross/routing.h"
#include "ledger/ledger_messages.h"
#include "peers.pb.h"
#include "peers/member_table.h"
#include "policy/tenant_quota.h"

/// Conversions between wire messages and plain values.
///
/// `To...` functions read untrusted messages. Those that return `bool` return
/// false for a malformed message and may leave the value partly filled.
namespace guavacross::peers {

void FromEndpoint(const Endpoint& endpoint, proto::Address* out);
Endpoint ToEndpoint(const proto::Address& in);

void FromRumor(const Rumor& rumor, proto::Rumor* out);
Rumor ToRumor(const proto::Rumor& in);

void FromSection(const SectionState& section, proto::Section* out);
SectionState ToSection(const proto::Section& in);

void FromDrain(const DrainNotice& notice, proto::Drain* out);
DrainNotice ToDrain(const proto::Drain& in);
void FromLimit(const LimitNotice& notice, proto::Limit* out);
/// A limit that isn't a number counts as none.
LimitNotice ToLimit(const proto::Limit& in);
void FromReach(const ReachState& reach, proto::Reach* out);
ReachState ToReach(const proto::Reach& in);
void FromQuarantine(const QuarantineNotice& notice, proto::Quarantine* out);
QuarantineNotice ToQuarantine(const proto::Quarantine& in);
void FromSuspect(const SuspectNotice& notice, proto::Suspect* out);
SuspectNotice ToSuspect(const proto::Suspect& in);

void FromQuestion(const ledger::LedgerQuestion& question, proto::Question* out);
/// `asker` is the sender of the message.
bool ToQuestion(const proto::Question& in,
                const InstanceId& asker,
                ledger::LedgerQuestion* question);
void FromReply(const ledger::LedgerReply& reply, proto::Answer* out);
bool ToReply(const proto::Answer& in, ledger::LedgerReply* reply);
void FromQuotaQuestion(const policy::QuotaQuestion& question,
                       proto::QuotaQuestion* out);
/// A rate or burst that isn't a positive number counts as none.
policy::QuotaQuestion ToQuotaQuestion(const proto::QuotaQuestion& in);
void FromQuotaAnswer(const policy::QuotaAnswer& answer,
                     proto::QuotaAnswer* out);
policy::QuotaAnswer ToQuotaAnswer(const proto::QuotaAnswer& in);
void FromHandover(const ledger::LedgerHandover& part, proto::Handover* out);
bool ToHandover(const proto::Handover& in,
                const InstanceId& from,
                ledger::LedgerHandover* part);

}  // namespace guavacross::peers

#endif  // GUAVACROSS_PEERS_PEER_CODEC_H_
