#ifndef GUAVACROSS_HTTP_MESSAGE_READER_H_
#define GUAVACROSS_HTTP_MESSAGE_READER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "guavacross/error.h"
#include "http/message.h"

namespace guavacross::http {

/// Maximum sizes of a message that a reader accepts.
struct ReadLimits {
  std::size_t m_max_header_bytes = std::size_t{16} << 10;
  std::uint64_t m_max_body_bytes = UINT64_MAX;

  bool operator==(const ReadLimits&) const = default;
};

/// Incremental parser for one HTTP/1.1 message, built on Boost.Beast's parser
/// with stricter checks: Content-Length with Transfer-Encoding, differing
/// lengths, folded header lines, bare line feeds, control characters, transfer
/// codings other than `chunked` and status codes outside of 100 to 599 are
/// errors.
///
/// Set the hooks, then call `Feed` until `done()`. Body bytes are passed on as
/// they arrive, without chunk framing. Use a new reader for each message. A
/// hook must not destroy the reader. Not thread safe.
class MessageReader {
 public:
  struct Hooks {
    /// Depending on the message type, one of these is called once the head is
    /// complete.
    std::function<void(const RequestHead&)> m_on_request;
    std::function<void(const ResponseHead&)> m_on_response;
    std::function<void(std::string_view)> m_on_body;
  };

  static MessageReader ForRequest(ReadLimits limits, Hooks hooks);
  /// `no_body` states that the response has no body whatever its fields say, as
  /// in a response to a HEAD request.
  static MessageReader ForResponse(ReadLimits limits,
                                   bool no_body,
                                   Hooks hooks);

  MessageReader(MessageReader&&) noexcept;
  MessageReader& operator=(MessageReader&&) noexcept;
  ~MessageReader();

  /// Consumes bytes up to the end of the message.
  ///
  /// @return the number of bytes consumed; fewer than given only if the message
  ///     is complete, in which case the rest is not part of it.
  /// Errors: `kBadRequest` for a malformed request, `kBackendBadAnswer` for a
  /// malformed response, `kHeaderTooLarge`, `kBodyTooLarge`. The reader can't
  /// be used after an error.
  Result<std::size_t> Feed(std::string_view bytes);

  /// Reports that the connection was closed. Completes a response whose body
  /// ends at the close; otherwise an error, unless the message is complete.
  Result<void> FeedEndOfStream();

  /// Whether any byte of the message has arrived.
  bool started() const;
  bool head_done() const;
  bool done() const;

  /// Defined in the source file; public only for its subclasses there.
  class Impl;

 private:
  explicit MessageReader(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::http

#endif  // GUAVACROSS_HTTP_MESSAGE_READER_H_
