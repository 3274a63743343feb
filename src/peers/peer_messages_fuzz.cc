// Parses arbitrary bytes as a message between instances and converts each part
// of it to plain values. Writing these to a message and converting it again
// must give the same values.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "peers/in_flight_codec.h"
#include "peers/peer_codec.h"

namespace guavacross::peers {

namespace {

void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

// Converts a part, writes it and converts it again.
template <class Part, class To, class From>
void CheckRoundTrip(const Part& part, To to, From from) {
  const auto value = to(part);
  Part written;
  from(value, &written);
  Require(to(written) == value);
}

void CheckNews(const proto::News& news) {
  for (const auto& drain : news.drains()) {
    CheckRoundTrip(drain, ToDrain, FromDrain);
  }
  for (const auto& limit : news.limits()) {
    CheckRoundTrip(limit, ToLimit, FromLimit);
  }
  for (const auto& quarantine : news.quarantines()) {
    CheckRoundTrip(quarantine, ToQuarantine, FromQuarantine);
  }
  for (const auto& suspect : news.suspects()) {
    CheckRoundTrip(suspect, ToSuspect, FromSuspect);
  }
  for (const auto& section : news.sections()) {
    CheckRoundTrip(section, ToSection, FromSection);
  }
}

void CheckRequest(const proto::PeerRequest& request) {
  const InstanceId sender{.m_name = request.header().from(),
                          .m_incarnation = request.header().from_incarnation()};
  CheckNews(request.news());
  CheckNews(request.heartbeat().news());
  for (const auto& rumor : request.heartbeat().rumors()) {
    ToRumor(rumor);
  }
  TargetNames names;
  names.Set("catalog", {"catalog-1", "catalog-2"});
  names.Read(request.heartbeat());
  ledger::LedgerQuestion question;
  if (ToQuestion(request.question(), sender, &question)) {
    proto::Question written;
    FromQuestion(question, &written);
    ledger::LedgerQuestion again;
    Require(ToQuestion(written, sender, &again) && again == question);
  }
  ledger::LedgerHandover part;
  if (ToHandover(request.handover(), sender, &part)) {
    proto::Handover written;
    FromHandover(part, &written);
    ledger::LedgerHandover again;
    Require(ToHandover(written, sender, &again) && again == part);
  }
}

void CheckReply(const proto::PeerReply& reply) {
  for (const auto& section : reply.sections().sections()) {
    CheckRoundTrip(section, ToSection, FromSection);
  }
  ledger::LedgerReply answer;
  if (ToReply(reply.answer(), &answer)) {
    proto::Answer written;
    FromReply(answer, &written);
    ledger::LedgerReply again;
    // Only a status that has a recorded answer carries one.
    Require(ToReply(written, &again) && again.m_status == answer.m_status &&
            again.m_attempt == answer.m_attempt);
  }
}

}  // namespace

}  // namespace guavacross::peers

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  guavacross::peers::proto::PeerRequest request;
  if (request.ParseFromString(bytes)) {
    guavacross::peers::CheckRequest(request);
  }
  guavacross::peers::proto::PeerReply reply;
  if (reply.ParseFromString(bytes)) {
    guavacross::peers::CheckReply(reply);
  }
  return 0;
}
