#include "ledger/claim_record.h"

#include <chrono>
#include <map>

#include "guavacross/time.h"
#include "ledger.pb.h"

namespace guavacross::ledger {

namespace {

constexpr std::uint32_t kVersion = 1;

// The latest time that `WallTime` can hold.
constexpr std::uint64_t kMaxWallMs =
    std::chrono::floor<std::chrono::milliseconds>(Duration::max()).count();

void Write(const Claim& claim, proto::Claim* out) {
  out->set_key_high(claim.m_key.m_high);
  out->set_key_low(claim.m_key.m_low);
  out->set_fingerprint(claim.m_fingerprint);
  out->set_attempt(claim.m_attempt);
}

Claim ReadClaim(const proto::Claim& in) {
  return {.m_key = {.m_high = in.key_high(), .m_low = in.key_low()},
          .m_fingerprint = in.fingerprint(),
          .m_attempt = in.attempt()};
}

void WriteCarried(const std::vector<CarriedClaim>& carried,
                  proto::ClaimRecord* out) {
  std::map<InstanceId, std::uint32_t> indexes;
  for (const CarriedClaim& claim : carried) {
    const auto [it, is_new] = indexes.try_emplace(
        claim.m_holder, static_cast<std::uint32_t>(indexes.size()));
    if (is_new) {
      proto::Holder* holder = out->add_holders();
      holder->set_name(claim.m_holder.m_name);
      holder->set_incarnation(claim.m_holder.m_incarnation);
    }
    proto::Carried* item = out->add_carried();
    Write(claim.m_claim, item->mutable_claim());
    item->set_holder(it->second);
    item->set_ended_not_run(claim.m_ended_not_run);
    item->set_age_s(claim.m_age_s);
  }
}

bool ReadCarried(const proto::ClaimRecord& in,
                 std::vector<CarriedClaim>* carried) {
  for (const proto::Carried& item : in.carried()) {
    if (item.holder() >= static_cast<std::uint32_t>(in.holders_size())) {
      return false;
    }
    const proto::Holder& holder = in.holders(static_cast<int>(item.holder()));
    carried->push_back({.m_claim = ReadClaim(item.claim()),
                        .m_holder = {.m_name = holder.name(),
                                     .m_incarnation = holder.incarnation()},
                        .m_ended_not_run = item.ended_not_run(),
                        .m_age_s = item.age_s()});
  }
  return true;
}

}  // namespace

std::string EncodeClaimRecord(const ClaimRecord& record) {
  proto::ClaimRecord out;
  out.set_version(kVersion);
  out.set_claimant(record.m_claimant.m_name);
  out.set_incarnation(record.m_claimant.m_incarnation);
  out.set_wall_ms(record.m_wall_ms);
  for (const NotRunEnd& end : record.m_ends) {
    proto::End* item = out.add_ends();
    item->set_key_high(end.m_key.m_high);
    item->set_key_low(end.m_key.m_low);
    item->set_attempt(end.m_attempt);
  }
  for (const Claim& claim : record.m_claims) {
    Write(claim, out.add_claims());
  }
  WriteCarried(record.m_carried, &out);
  if (record.m_coverage) {
    out.mutable_coverage()->set_from_offset(record.m_coverage->m_from_offset);
    out.mutable_coverage()->set_known_s(record.m_coverage->m_known_s);
  }
  return out.SerializeAsString();
}

Result<ClaimRecord> DecodeClaimRecord(const std::string& data) {
  proto::ClaimRecord in;
  if (!in.ParseFromString(data) || in.version() != kVersion ||
      in.claimant().empty()) {
    return Fail(ErrorKind::kBadMessage,
                "not a claim record of the current format version");
  }
  if (in.wall_ms() > kMaxWallMs) {
    return Fail(ErrorKind::kBadMessage,
                "the time of a claim record is out of range");
  }
  ClaimRecord record{.m_claimant = {.m_name = in.claimant(),
                                    .m_incarnation = in.incarnation()},
                     .m_wall_ms = in.wall_ms()};
  for (const proto::End& end : in.ends()) {
    record.m_ends.push_back(
        {.m_key = {.m_high = end.key_high(), .m_low = end.key_low()},
         .m_attempt = end.attempt()});
  }
  for (const proto::Claim& claim : in.claims()) {
    record.m_claims.push_back(ReadClaim(claim));
  }
  if (!ReadCarried(in, &record.m_carried)) {
    return Fail(ErrorKind::kBadMessage,
                "a carried claim refers to a missing holder");
  }
  if (in.has_coverage()) {
    record.m_coverage = Coverage{.m_from_offset = in.coverage().from_offset(),
                                 .m_known_s = in.coverage().known_s()};
  }
  return record;
}

}  // namespace guavacross::ledger
