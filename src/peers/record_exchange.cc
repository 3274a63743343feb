// Exchange of records of the store's streams between instances.

#include <optional>
#include <utility>
#include <vector>

#include "peers/peer_network_impl.h"

namespace guavacross::peers {

namespace {

// Maximum bytes of records in one reply; the rest takes further requests.
constexpr std::size_t kMaxRecordBytes = std::size_t{512} << 10;

feed::StreamState ToStreamState(const proto::StreamState& message,
                                TimePoint now) {
  feed::StreamState stream{.m_stream = message.stream(),
                           .m_changed_to = message.changed_to(),
                           .m_version = message.version(),
                           .m_read_to = message.read_to(),
                           .m_complete_from = message.complete_from(),
                           .m_earlier_changed_to = message.earlier_changed_to(),
                           .m_reaches_store = message.reads()};
  if (message.has_deletions_from()) {
    stream.m_deletions_from = message.deletions_from();
  }
  if (message.has_read_age_ms()) {
    stream.m_read_at = now - std::chrono::milliseconds(message.read_age_ms());
  }
  if (message.has_sound_age_ms() && stream.m_read_at.has_value()) {
    stream.m_spell = policy::ReadSpell{
        .m_epoch = message.epoch(),
        .m_since = now - std::chrono::milliseconds(message.sound_age_ms()),
        .m_until = *stream.m_read_at,
        .m_after_outage = message.after_outage()};
  }
  return stream;
}

}  // namespace

void FromStreamState(const feed::StreamState& stream,
                     TimePoint now,
                     proto::StreamState* out) {
  const auto age_ms = [now](TimePoint time) {
    return static_cast<std::uint32_t>(Milliseconds(now - time));
  };
  out->set_stream(stream.m_stream);
  out->set_changed_to(stream.m_changed_to);
  out->set_version(stream.m_version);
  out->set_read_to(stream.m_read_to);
  out->set_reads(stream.m_reaches_store);
  out->set_complete_from(stream.m_complete_from);
  out->set_earlier_changed_to(stream.m_earlier_changed_to);
  if (stream.m_deletions_from.has_value()) {
    out->set_deletions_from(*stream.m_deletions_from);
  }
  if (stream.m_read_at.has_value()) {
    out->set_read_age_ms(age_ms(*stream.m_read_at));
  }
  if (stream.m_spell.has_value()) {
    out->set_sound_age_ms(age_ms(stream.m_spell->m_since));
    out->set_after_outage(stream.m_spell->m_after_outage);
    out->set_epoch(stream.m_spell->m_epoch);
  }
}

namespace {

std::vector<feed::KeyedRecord> ToRecords(const proto::RecordsReply& reply) {
  std::vector<feed::KeyedRecord> records;
  for (const proto::StoreRecord& message : reply.records()) {
    feed::KeyedRecord record{.m_key = message.key(),
                             .m_offset = message.offset()};
    if (message.has_value()) {
      record.m_value = message.value();
    }
    if (message.has_last_value()) {
      record.m_last_value = message.last_value();
    }
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace

void PeerNetwork::Impl::CompareStreams(const InstanceId& from,
                                       const proto::Heartbeat& heartbeat) {
  const feed::StreamExchange& exchange = m_hooks.m_streams;
  if (!exchange.m_on_records || heartbeat.streams_size() == 0) {
    return;
  }
  for (const proto::StreamState& message : heartbeat.streams()) {
    const feed::StreamState state =
        ToStreamState(message, m_options.m_clock.m_now());
    const auto fetch_from = exchange.m_on_stream(from.m_name, state);
    if (fetch_from.has_value()) {
      FetchRecords(from, {.m_stream = state.m_stream, .m_from = *fetch_from});
    }
    if (exchange.m_lacks_deletions && exchange.m_lacks_deletions(state)) {
      FetchRecords(from, {.m_stream = state.m_stream, .m_deletions_of = state});
    }
  }
}

void PeerNetwork::Impl::FetchRecords(const InstanceId& from,
                                     const RecordFetch& fetch) {
  const auto member = FindMember(from);
  const TimePoint begun_at = m_options.m_clock.m_now();
  const std::pair turn(fetch.m_stream, fetch.m_deletions_of.has_value());
  if (!member || !m_fetch_turns[turn].TryBegin(begun_at)) {
    return;
  }
  proto::PeerRequest request;
  request.mutable_records()->set_stream(fetch.m_stream);
  request.mutable_records()->set_from(fetch.m_from);
  request.mutable_records()->set_deletions_only(
      fetch.m_deletions_of.has_value());
  Send(*member, from.m_incarnation, std::move(request),
       [this, fetch, turn, begun_at,
        peer = from.m_name](const std::optional<proto::PeerReply>& reply) {
         m_fetch_turns[turn].End(begun_at);
         if (!reply || !reply->has_records()) {
           return;
         }
         if (reply->records().has_state()) {
           // It may tell of an outage by which to judge the records.
           m_hooks.m_streams.m_on_stream(
               peer, ToStreamState(reply->records().state(),
                                   m_options.m_clock.m_now()));
         }
         m_hooks.m_streams.m_on_records(
             fetch.m_stream, {.m_peer = peer,
                              .m_from = fetch.m_from,
                              .m_records = ToRecords(reply->records()),
                              .m_deletions_of = fetch.m_deletions_of});
       });
}

void PeerNetwork::Impl::AnswerRecords(const proto::RecordsRequest& request,
                                      proto::RecordsReply* reply) const {
  const feed::StreamExchange& exchange = m_hooks.m_streams;
  if (!exchange.m_records) {
    return;
  }
  const std::vector<feed::KeyedRecord> records =
      request.deletions_only() && exchange.m_deletions
          ? exchange.m_deletions(request.stream(), kMaxRecordBytes)
          : exchange.m_records(request.stream(), request.from(),
                               kMaxRecordBytes);
  const auto state =
      exchange.m_state ? exchange.m_state(request.stream()) : std::nullopt;
  if (state.has_value()) {
    FromStreamState(*state, m_options.m_clock.m_now(), reply->mutable_state());
  }
  for (const feed::KeyedRecord& record : records) {
    proto::StoreRecord* const message = reply->add_records();
    message->set_key(record.m_key);
    message->set_offset(record.m_offset);
    if (record.m_value.has_value()) {
      message->set_value(*record.m_value);
    }
    if (record.m_last_value.has_value()) {
      message->set_last_value(*record.m_last_value);
    }
  }
}

}  // namespace guavacross::peers
