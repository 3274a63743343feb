#include "http/message.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace guavacross::http {

namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "Connection",       "Keep-Alive",
    "Proxy-Connection", "TE",
    "Trailer",          "Transfer-Encoding",
    "Upgrade",          "Proxy-Authenticate",
    "Content-Length"};

// Number of fields that the load balancer usually adds to a message; reserved
// to avoid a reallocation.
constexpr std::size_t kExpectedAddedFields = 4;

// Fields that `AppendFraming` generates.
constexpr std::array<std::string_view, 3> kFramingFields = {
    "Content-Length", "Transfer-Encoding", "Connection"};

// Independent of the locale, since field names are ASCII.
constexpr char ToLowerAscii(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  const std::size_t last = text.find_last_not_of(" \t");
  return text.substr(first, last - first + 1);
}

std::vector<std::string_view> SplitTokens(std::string_view list) {
  std::vector<std::string_view> tokens;
  std::size_t start = 0;
  while (start <= list.size()) {
    const std::size_t end = std::min(list.find(',', start), list.size());
    tokens.push_back(Trim(list.substr(start, end - start)));
    start = end + 1;
  }
  return tokens;
}

template <class Names>
bool Contains(const Names& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(), [name](std::string_view each) {
    return EqualsIgnoreCase(each, name);
  });
}

void AppendFields(const Fields& fields, std::string* text) {
  for (const auto& [name, value] : fields.all()) {
    if (Contains(kFramingFields, name)) {
      continue;
    }
    text->append(name).append(": ").append(value).append("\r\n");
  }
}

void AppendFraming(BodyFraming framing,
                   std::uint64_t length,
                   bool keep_alive,
                   std::string* text) {
  if (framing == BodyFraming::kLength) {
    text->append("Content-Length: ")
        .append(std::to_string(length))
        .append("\r\n");
  } else if (framing == BodyFraming::kChunked) {
    text->append("Transfer-Encoding: chunked\r\n");
  }
  if (!keep_alive) {
    text->append("Connection: close\r\n");
  }
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    const bool escaped =
        text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(&text[i + 1], &text[i + 1] + 2, value, 16).ptr ==
            &text[i + 1] + 2;
    if (escaped) {
      decoded.push_back(static_cast<char>(value));
      i += 2;
    } else {
      decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return decoded;
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return ToLowerAscii(x) == ToLowerAscii(y);
         });
}

std::optional<std::string_view> Fields::Find(std::string_view name) const {
  for (const auto& [field, value] : m_fields) {
    if (EqualsIgnoreCase(field, name)) {
      return value;
    }
  }
  return std::nullopt;
}

bool Fields::HasToken(std::string_view name, std::string_view token) const {
  for (const auto& [field, value] : m_fields) {
    if (EqualsIgnoreCase(field, name) && Contains(SplitTokens(value), token)) {
      return true;
    }
  }
  return false;
}

void Fields::Add(std::string name, std::string value) {
  m_fields.emplace_back(std::move(name), std::move(value));
}

void Fields::Set(std::string name, std::string value) {
  Remove(name);
  Add(std::move(name), std::move(value));
}

void Fields::Remove(std::string_view name) {
  std::erase_if(m_fields, [name](const Field& field) {
    return EqualsIgnoreCase(field.first, name);
  });
}

Fields EndToEndFields(const Fields& fields,
                      std::span<const std::string_view> excluded) {
  std::vector<std::string_view> connection_options;
  for (const auto& [name, value] : fields.all()) {
    if (EqualsIgnoreCase(name, "Connection")) {
      for (const std::string_view token : SplitTokens(value)) {
        connection_options.push_back(token);
      }
    }
  }
  Fields kept;
  kept.Reserve(fields.all().size() + kExpectedAddedFields);
  for (const auto& [name, value] : fields.all()) {
    if (!Contains(kHopByHop, name) && !Contains(excluded, name) &&
        !Contains(connection_options, name)) {
      kept.Add(name, value);
    }
  }
  return kept;
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string Serialize(const RequestHead& head) {
  std::string text = head.m_method + " " + head.m_target + " HTTP/1.1\r\n";
  AppendFields(head.m_fields, &text);
  AppendFraming(head.m_framing, head.m_length, head.m_keep_alive, &text);
  text.append("\r\n");
  return text;
}

std::string Serialize(const ResponseHead& head) {
  const std::string reason = head.m_reason.empty()
                                 ? std::string(ReasonPhrase(head.m_status))
                                 : head.m_reason;
  std::string text =
      "HTTP/1.1 " + std::to_string(head.m_status) + " " + reason + "\r\n";
  AppendFields(head.m_fields, &text);
  AppendFraming(head.m_framing, head.m_length, head.m_keep_alive, &text);
  text.append("\r\n");
  return text;
}

std::string ChunkHeader(std::size_t size) {
  std::array<char, 20> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), size, 16).ptr;
  return std::string(digits.data(), end) + "\r\n";
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::optional<std::string> QueryParameter(std::string_view target,
                                          std::string_view name) {
  const std::size_t query_mark = target.find('?');
  if (query_mark == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view query = target.substr(query_mark + 1);
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (PercentDecode(pair.substr(0, equals)) == name) {
      return PercentDecode(pair.substr(std::min(equals + 1, pair.size())));
    }
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return std::nullopt;
}

}  // namespace guavacross::http
