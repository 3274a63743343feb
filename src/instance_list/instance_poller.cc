#include "instance_list/instance_poller.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <boost/leaf/error.hpp>
#include <utility>

#include "util/handle.h"
#include "util/log.h"

namespace guavacross::instance_list {

namespace {

constexpr int kOk = 200;

// Ten thousand instances with long names.
constexpr std::size_t kMaxListBytes = std::size_t{4} << 20;

std::string TextOf(const QJsonValue& entry, const char* key) {
  return entry[QLatin1String(key)].toString().toStdString();
}

Result<ListedInstance> ParseInstance(const QJsonValue& entry) {
  ListedInstance instance{.m_name = TextOf(entry, "name"),
                          .m_region = TextOf(entry, "region"),
                          .m_zone = TextOf(entry, "zone"),
                          .m_leaving = entry["leaving"].toBool(false)};
  if (instance.m_name.empty() ||
      !ParseEndpoint(TextOf(entry, "callers"), &instance.m_callers) ||
      !ParseEndpoint(TextOf(entry, "peers"), &instance.m_peers)) {
    return Fail(ErrorKind::kBadMessage,
                "an instance without name, callers or peers");
  }
  return instance;
}

Result<std::vector<ListedInstance>> ParseList(const net::FetchResult& fetched) {
  if (fetched.m_status != kOk) {
    return Fail(ErrorKind::kBadMessage,
                fetched.m_status == 0
                    ? fetched.m_error
                    : "status " + std::to_string(fetched.m_status));
  }
  return ParseInstances(fetched.m_body);
}

}  // namespace

Result<std::vector<ListedInstance>> ParseInstances(const std::string& json) {
  const auto document =
      QJsonDocument::fromJson(QByteArray::fromStdString(json));
  if (!document["instances"].isArray()) {
    return Fail(ErrorKind::kBadMessage, "no list of instances");
  }
  std::vector<ListedInstance> instances;
  for (const QJsonValue entry : document["instances"].toArray()) {
    BOOST_LEAF_AUTO(instance, ParseInstance(entry));
    instances.push_back(std::move(instance));
  }
  return instances;
}

InstancePoller::InstancePoller(Options options,
                               Clock clock,
                               util::Metrics& metrics,
                               ListHook on_list)
    : m_options(std::move(options)),
      m_clock(clock),
      m_on_list(std::move(on_list)),
      m_failures(metrics.Counter("guavacross_instance_list_failures_total",
                                 "Failed reads of the instance list")),
      m_listed(metrics.Gauge("guavacross_instance_list_instances",
                             "Instances in the last valid list")),
      m_fetcher(std::move(clock)) {
  m_timer = m_clock.m_call_after(Duration::zero(), [this] { Poll(); });
}

void InstancePoller::Poll() {
  m_fetcher.Get(
      m_options.m_endpoint, "/instances", {m_options.m_timeout, kMaxListBytes},
      [this](const net::FetchResult& fetched) {
        HandleResult(fetched);
        m_timer =
            m_clock.m_call_after(m_options.m_interval, [this] { Poll(); });
      });
}

void InstancePoller::HandleResult(const net::FetchResult& fetched) {
  auto list = util::Catch([&fetched] { return ParseList(fetched); });
  if (!list) {
    m_failures.Increment();
    if (!m_failing) {
      util::LogWarning("instance_list", "instance list can't be read",
                       {{"reason", list.m_error.m_text}});
    }
    m_failing = true;
    return;
  }
  if (m_failing) {
    util::LogChange("instance_list", "instance list can be read again");
  }
  m_failing = false;
  m_listed.Set(static_cast<double>(list.m_value->size()));
  if (m_has_list && *list.m_value == m_last) {
    return;
  }
  m_has_list = true;
  m_last = std::move(*list.m_value);
  m_on_list(m_last);
}

}  // namespace guavacross::instance_list
