#include "log_service/http_log_access.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <boost/leaf/error.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "net/http_fetcher.h"
#include "util/handle.h"

namespace guavacross::log_service {

namespace {

constexpr Duration kAppendTimeout = std::chrono::seconds(2);
/// Added to the time that the service may hold a read.
constexpr Duration kReadTimeout = std::chrono::seconds(5);
constexpr int kMaxRecordsPerRead = 500;
/// Lower than `kMaxRecordsPerRead`, because the parts of a snapshot are large.
constexpr int kMaxSnapshotPartsPerRead = 16;

constexpr std::size_t kMaxAppendAnswerBytes = std::size_t{64} << 10;
// Ten sections of 28,000 targets each, in base64.
constexpr std::size_t kMaxReadBytes = std::size_t{64} << 20;

constexpr int kCreated = 201;
constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;

std::optional<std::uint64_t> ParseOffset(const QJsonValue& value) {
  const qint64 number = value.toInteger(-1);
  if (number < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(number);
}

std::string RecordsPath(const std::string& stream) {
  return "/streams/" + stream + "/records";
}

AppendResult ToAppendResult(const net::FetchResult& fetched) {
  // If a request was sent more than once, the service may have applied an
  // earlier copy.
  if (fetched.m_connect_failed && fetched.m_times_sent == 0) {
    return {.m_end = AppendEnd::kRejected};
  }
  if (fetched.m_status == kTooManyRequests && fetched.m_times_sent <= 1) {
    return {.m_end = AppendEnd::kRejected};
  }
  if (fetched.m_status != kCreated) {
    return {.m_end = AppendEnd::kUnclear};
  }
  const auto document =
      QJsonDocument::fromJson(QByteArray::fromStdString(fetched.m_body));
  const auto offset = ParseOffset(document["offset"]);
  if (!offset) {
    return {.m_end = AppendEnd::kUnclear};
  }
  return {.m_end = AppendEnd::kAppended, .m_offset = *offset};
}

Result<LogBatch> ToBatch(const net::FetchResult& fetched) {
  if (fetched.m_status != kOk) {
    return Fail(ErrorKind::kLogUnavailable,
                fetched.m_status == 0
                    ? fetched.m_error
                    : "status " + std::to_string(fetched.m_status));
  }
  return ParseBatch(fetched.m_body);
}

// Separate fetchers, so that waiting reads don't use up the connections that
// appends need.
struct Client {
  explicit Client(const Clock& clock) : m_appends(clock), m_reads(clock) {}

  net::HttpFetcher m_appends;
  net::HttpFetcher m_reads;
};

}  // namespace

Result<LogBatch> ParseBatch(const std::string& json) {
  const auto fail = [](const char* what) {
    return Fail(ErrorKind::kLogUnavailable,
                std::string("invalid response: ") + what);
  };
  const auto document =
      QJsonDocument::fromJson(QByteArray::fromStdString(json));
  const auto first = ParseOffset(document["first"]);
  const auto end = ParseOffset(document["end"]);
  if (!first || !end || !document["records"].isArray()) {
    return fail("first, end or records is missing or invalid");
  }
  LogBatch batch{.m_first_kept = *first, .m_end = *end};
  for (const QJsonValue value : document["records"].toArray()) {
    const auto offset = ParseOffset(value["offset"]);
    const auto data =
        QByteArray::fromBase64Encoding(value["data"].toString().toLatin1(),
                                       QByteArray::AbortOnBase64DecodingErrors);
    if (!offset || !value["data"].isString() || !data) {
      return fail("a record has no valid offset or data");
    }
    if (!batch.m_records.empty() &&
        *offset <= batch.m_records.back().m_offset) {
      return fail("record offsets are not ascending");
    }
    batch.m_records.push_back(
        {.m_offset = *offset, .m_data = data.decoded.toStdString()});
  }
  return batch;
}

LogAccess MakeLogAccess(const Endpoint& endpoint, const Clock& clock) {
  const auto client = std::make_shared<Client>(clock);
  LogAccess access;
  access.m_append = [client, endpoint](const std::string& stream,
                                       const std::string& data,
                                       std::function<void(AppendResult)> done) {
    client->m_appends.Post(endpoint, RecordsPath(stream), data,
                           {kAppendTimeout, kMaxAppendAnswerBytes},
                           [done](const net::FetchResult& fetched) {
                             done(ToAppendResult(fetched));
                           });
  };
  access.m_read = [client, endpoint](
                      const std::string& stream, std::uint64_t from,
                      Duration wait,
                      std::function<void(Result<LogBatch>)> done) {
    const int max = stream == kSnapshotStream ? kMaxSnapshotPartsPerRead
                                              : kMaxRecordsPerRead;
    const auto wait_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const std::string path =
        RecordsPath(stream) + "?from=" + std::to_string(from) +
        "&max=" + std::to_string(max) + "&wait_ms=" + std::to_string(wait_ms);
    client->m_reads.Get(endpoint, path, {wait + kReadTimeout, kMaxReadBytes},
                        [done](const net::FetchResult& fetched) {
                          util::Handle(
                              [&]() -> Result<void> {
                                done(ToBatch(fetched));
                                return {};
                              },
                              [](const Error&) {});
                        });
  };
  return access;
}

}  // namespace guavacross::log_service
