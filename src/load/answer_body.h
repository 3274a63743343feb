#ifndef GUAVACROSS_LOAD_ANSWER_BODY_H_
#define GUAVACROSS_LOAD_ANSWER_BODY_H_

#include <cstdint>
#include <string>
#include <string_view>

/// Bodies by which a caller can see that it got the complete answer to its own
/// request.
///
/// A body is made of blocks of `kAnswerBlockBytes` bytes, each of which holds
/// the request's identity and the block's number; the last may be cut short.
namespace guavacross::load {

inline constexpr std::size_t kAnswerBlockBytes = 64;

/// The request's identity, sent by callers and echoed in answers.
inline constexpr char kRequestIdHeader[] = "X-Request-Id";

/// The XXH3 hash of an answer's body, 16 hexadecimal digits; left out of large
/// answers.
inline constexpr char kBodyHashHeader[] = "X-Body-Hash";

/// The bytes from `offset` on, at most `size` of them, of the body of `total`
/// bytes that answers the request `id`. Thread safe.
std::string AnswerBytes(std::string_view id,
                        std::uint64_t total,
                        std::uint64_t offset,
                        std::size_t size);

/// Whether `bytes` are what `AnswerBytes` gives from `offset` on.
bool IsAnswerOf(std::string_view id,
                std::uint64_t offset,
                std::string_view bytes);

/// The value of `kBodyHashHeader` for a body.
std::string BodyHash(std::string_view body);
/// The same for a hash that is known.
std::string FormatHash(std::uint64_t hash);

}  // namespace guavacross::load

#endif  // GUAVACROSS_LOAD_ANSWER_BODY_H_
