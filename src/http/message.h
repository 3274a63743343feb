#ifndef GUAVACROSS_HTTP_MESSAGE_H_
#define GUAVACROSS_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace guavacross::http {

/// HTTP header fields in the order received.
class Fields {
 public:
  using Field = std::pair<std::string, std::string>;

  Fields() = default;
  Fields(std::initializer_list<Field> fields) : m_fields(fields) {}

  /// The value of the first field called `name`, or nothing. Field names are
  /// compared case-insensitively.
  std::optional<std::string_view> Find(std::string_view name) const;
  /// Whether the comma-separated values of a field contain `token`, compared
  /// case-insensitively.
  bool HasToken(std::string_view name, std::string_view token) const;
  void Reserve(std::size_t count) { m_fields.reserve(count); }
  void Add(std::string name, std::string value);
  /// Removes all fields called `name`, then adds one.
  void Set(std::string name, std::string value);
  void Remove(std::string_view name);

  const std::vector<Field>& all() const { return m_fields; }

  bool operator==(const Fields&) const = default;

 private:
  std::vector<Field> m_fields;
};

/// How the end of a message body is determined.
enum class BodyFraming {
  kNone,
  kLength,
  kChunked,
  /// The body ends when the connection closes; responses only.
  kUntilClose,
};

struct RequestHead {
  std::string m_method;
  /// Path and query, as sent.
  std::string m_target;
  /// HTTP version: 10 or 11.
  int m_version = 11;
  Fields m_fields;
  bool m_keep_alive = true;
  BodyFraming m_framing = BodyFraming::kNone;
  /// Body length in bytes; set only with `kLength`.
  std::uint64_t m_length = 0;

  bool operator==(const RequestHead&) const = default;
};

struct ResponseHead {
  int m_status = 200;
  std::string m_reason;
  Fields m_fields;
  bool m_keep_alive = true;
  BodyFraming m_framing = BodyFraming::kNone;
  std::uint64_t m_length = 0;

  bool operator==(const ResponseHead&) const = default;
};

/// Whether two field names or tokens are equal, ignoring ASCII case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// Returns the end-to-end fields, without the hop-by-hop fields (RFC 9110,
/// 7.6.1): Connection and the fields it lists, Keep-Alive, TE, Trailer,
/// Transfer-Encoding, Upgrade and the proxy fields. Fields in `excluded`
/// and Content-Length are removed too; the serializer writes the framing.
Fields EndToEndFields(const Fields& fields,
                      std::span<const std::string_view> excluded = {});

/// The standard reason phrase for a status code.
std::string_view ReasonPhrase(int status);

/// Serializes a head, blank line included. Content-Length, Transfer-Encoding
/// and Connection are written from the head's framing and keep-alive; such
/// fields in `m_fields` are left out.
std::string Serialize(const RequestHead& head);
std::string Serialize(const ResponseHead& head);

/// The chunk-size line of a chunk with `size` bytes of data. `kChunkEnd`
/// follows the data; `kLastChunk` ends the body.
std::string ChunkHeader(std::size_t size);
/// Whether a number is a status code of the protocol (RFC 9110, 15).
constexpr bool IsStatusCode(int status) {
  return status >= 100 && status <= 599;
}

inline constexpr std::string_view kChunkEnd = "\r\n";
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// The percent-decoded value of a query parameter in the request target
/// `target`, or nothing.
std::optional<std::string> QueryParameter(std::string_view target,
                                          std::string_view name);
/// The request target `target` without its query.
std::string_view PathOf(std::string_view target);

}  // namespace guavacross::http

#endif  // GUAVACROSS_HTTP_MESSAGE_H_
