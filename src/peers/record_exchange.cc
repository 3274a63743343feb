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
                           .m_reaches_store = message.reads()};
  if (message.has_read_age_ms()) {
    stream.m_read_at = now - std::chrono::milliseconds(message.read_age_ms());
  }
  return stream;
}

}  // namespace

void PeerNetwork::Impl::CompareStreams(const InstanceId& from,
                                       const proto::Heartbeat& heartbeat) {
  if (!m_hooks.m_streams.m_on_records || heartbeat.streams_size() == 0) {
    return;
  }
  for (const proto::StreamState& stream : heartbeat.streams()) {
    const std::optional<std::uint64_t> fetch_from =
        m_hooks.m_streams.m_on_stream(
            from.m_name, ToStreamState(stream, m_options.m_clock.m_now()));
    if (fetch_from.has_value()) {
      FetchRecords(from, stream.stream(), *fetch_from);
    }
  }
}

void PeerNetwork::Impl::FetchRecords(const InstanceId& from,
                                     const std::string& stream,
                                     std::uint64_t from_offset) {
  const auto member = FindMember(from);
  const TimePoint begun_at = m_options.m_clock.m_now();
  if (!member || !m_fetch_turns[stream].TryBegin(begun_at)) {
    return;
  }
  proto::PeerRequest request;
  request.mutable_records()->set_stream(stream);
  request.mutable_records()->set_from(from_offset);
  Send(*member, from.m_incarnation, std::move(request),
       [this, stream, begun_at, from_offset,
        peer = from.m_name](const std::optional<proto::PeerReply>& reply) {
         m_fetch_turns[stream].End(begun_at);
         if (!reply || !reply->has_records()) {
           return;
         }
         feed::PeerRecords fetched{.m_peer = peer, .m_from = from_offset};
         for (const proto::StoreRecord& message : reply->records().records()) {
           feed::KeyedRecord record{.m_key = message.key(),
                                    .m_offset = message.offset()};
           if (message.has_value()) {
             record.m_value = message.value();
           }
           if (message.has_last_value()) {
             record.m_last_value = message.last_value();
           }
           fetched.m_records.push_back(std::move(record));
         }
         m_hooks.m_streams.m_on_records(stream, fetched);
       });
}

void PeerNetwork::Impl::AnswerRecords(const proto::RecordsRequest& request,
                                      proto::RecordsReply* reply) const {
  if (!m_hooks.m_streams.m_records) {
    return;
  }
  for (const feed::KeyedRecord& record : m_hooks.m_streams.m_records(
           request.stream(), request.from(), kMaxRecordBytes)) {
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
