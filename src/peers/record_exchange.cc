// Exchange of records of the store's streams between instances.

#include <algorithm>
#include <utility>
#include <vector>

#include "peers/peer_network_impl.h"

namespace guavacross::peers {

namespace {

// Maximum bytes of records in one reply; the rest takes further requests.
constexpr std::size_t kMaxRecordBytes = std::size_t{512} << 10;

std::uint64_t ChangedTo(const std::vector<feed::StreamState>& streams,
                        const std::string& name) {
  const auto found = std::find_if(
      streams.begin(), streams.end(),
      [&name](const auto& stream) { return stream.m_stream == name; });
  return found == streams.end() ? 0 : found->m_changed_to;
}

feed::StreamState ToStream(const proto::StreamState& told, TimePoint now) {
  feed::StreamState stream{.m_stream = told.stream(),
                           .m_changed_to = told.changed_to(),
                           .m_read_to = told.read_to(),
                           .m_complete_from = told.complete_from(),
                           .m_reads = told.reads()};
  if (told.has_read_age_ms()) {
    stream.m_read_at = now - std::chrono::milliseconds(told.read_age_ms());
  }
  return stream;
}

}  // namespace

void PeerNetwork::Impl::CompareStreams(const InstanceId& from,
                                       const proto::Heartbeat& heartbeat) {
  if (!m_hooks.m_streams.m_on_records || heartbeat.streams_size() == 0) {
    return;
  }
  // Records requested since the last heartbeat may have arrived by now.
  m_local.reset();
  for (const proto::StreamState& stream : heartbeat.streams()) {
    const bool follow = m_hooks.m_streams.m_on_stream(
        from.m_name, ToStream(stream, m_options.m_clock.m_now()));
    const std::uint64_t known = ChangedTo(Local().m_streams, stream.stream());
    if (follow && stream.changed_to() > known) {
      FetchRecords(from, stream.stream(), known);
    }
  }
}

void PeerNetwork::Impl::FetchRecords(const InstanceId& from,
                                     const std::string& stream,
                                     std::uint64_t from_offset) {
  const auto member = FindMember(from);
  if (!member || !m_fetching.insert(stream).second) {
    return;
  }
  proto::PeerRequest request;
  request.mutable_records()->set_stream(stream);
  request.mutable_records()->set_from(from_offset);
  Send(*member, from.m_incarnation, std::move(request),
       [this, stream](const std::optional<proto::PeerReply>& reply) {
         m_fetching.erase(stream);
         if (!reply || !reply->has_records()) {
           return;
         }
         std::vector<feed::KeyedRecord> records;
         for (const proto::StoreRecord& told : reply->records().records()) {
           feed::KeyedRecord record{.m_key = told.key(),
                                    .m_offset = told.offset()};
           if (told.has_value()) {
             record.m_value = told.value();
           }
           records.push_back(std::move(record));
         }
         m_hooks.m_streams.m_on_records(stream, records);
       });
}

void PeerNetwork::Impl::AnswerRecords(const proto::RecordsRequest& request,
                                      proto::RecordsReply* reply) const {
  if (!m_hooks.m_streams.m_records) {
    return;
  }
  for (const feed::KeyedRecord& record : m_hooks.m_streams.m_records(
           request.stream(), request.from(), kMaxRecordBytes)) {
    proto::StoreRecord* const told = reply->add_records();
    told->set_key(record.m_key);
    told->set_offset(record.m_offset);
    if (record.m_value.has_value()) {
      told->set_value(*record.m_value);
    }
  }
}

}  // namespace guavacross::peers
