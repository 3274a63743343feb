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

/// Bounds on what a reader accepts.
struct ReadLimits {
  std::size_t m_max_header_bytes = std::size_t{16} << 10;
  std::uint64_t m_max_body_bytes = UINT64_MAX;

  bool operator==(const ReadLimits&) const = default;
};

/// Reads one HTTP/1.1 message from bytes as they arrive. Framing is
/// Boost.Beast's parser, made stricter: Content-Length with Transfer-Encoding,
/// differing lengths, folded header lines, bare line feeds, control characters
/// and transfer codings other than `chunked` are errors.
///
/// Set the hooks, then call `Feed` until `done()`. Body bytes are handed on as
/// they come, without chunk framing. Make a new reader for each message. A hook
/// must not destroy the reader. Not thread safe.
class MessageReader {
 public:
  struct Hooks {
    /// One of these is called once the head is complete.
    std::function<void(const RequestHead&)> m_on_request;
    std::function<void(const ResponseHead&)> m_on_response;
    std::function<void(std::string_view)> m_on_body;
  };

  static MessageReader ForRequest(ReadLimits limits, Hooks hooks);
  /// `to_head` and similar bodiless answers are told with `no_body`.
  static MessageReader ForResponse(ReadLimits limits,
                                   bool no_body,
                                   Hooks hooks);

  MessageReader(MessageReader&&) noexcept;
  MessageReader& operator=(MessageReader&&) noexcept;
  ~MessageReader();

  /// Takes bytes up to the end of the message.
  ///
  /// @return the number taken; fewer than given only if the message has ended,
  ///     in which case the rest belongs to whatever follows.
  /// Errors: `kBadRequest` for a request and `kBackendBadAnswer` for a response
  /// that break the rules, `kHeaderTooLarge`, `kBodyTooLarge`. The reader is of
  /// no more use after an error.
  Result<std::size_t> Feed(std::string_view bytes);

  /// Tells that the connection has closed. Ends a response whose body runs
  /// until the close; otherwise an error, unless the message is done.
  Result<void> FeedEnd();

  /// Whether any byte of the message has arrived.
  bool started() const;
  bool head_done() const;
  bool done() const;

  /// Private to the implementation.
  class Impl;

 private:
  explicit MessageReader(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace guavacross::http

#endif  // GUAVACROSS_HTTP_MESSAGE_READER_H_
