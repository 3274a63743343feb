#include "backends/load_fields.h"

#include <charconv>
#include <optional>
#include <string_view>

#include "guavacross/wire_names.h"

namespace guavacross::backends {

namespace {

constexpr int kServiceUnavailable = 503;

std::optional<int> ParseCount(std::string_view text) {
  int value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

LoadReport ReadLoad(const http::Fields& fields) {
  LoadReport load;
  if (const auto in_flight = fields.Find(kInFlightHeader)) {
    load.m_in_flight = ParseCount(*in_flight);
  }
  load.m_draining = fields.Find(kDrainingHeader) == "1";
  load.m_incarnation = fields.Find(kIncarnationHeader).value_or("");
  return load;
}

bool IsNotRunRefusal(const http::ResponseHead& head) {
  return head.m_status == kServiceUnavailable &&
         head.m_fields.Find(kNotRunHeader) == "1";
}

}  // namespace guavacross::backends
