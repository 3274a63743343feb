#ifndef GUAVACROSS_LOAD_ANSWER_BODY_H_
#define GUAVACROSS_LOAD_ANSWER_BODY_H_

#include <cstdint>
#include <string>
#include <string_view>

/// Generated answer bodies that let a caller verify that it received the
/// complete answer to its own request.
///
/// A body consists of blocks of `kAnswerBlockBytes` bytes, each of which holds
/// the request's identity and the block number; the last block may be
/// truncated.
namespace guavacross::load {

inline constexpr std::size_t kAnswerBlockBytes = 64;

/// The request's identity, sent by callers and echoed in answers.
inline constexpr char kRequestIdHeader[] = "X-Request-Id";

/// The XXH3 hash of an answer's body as 16 hexadecimal digits; not sent with
/// large or rate-limited answers.
inline constexpr char kBodyHashHeader[] = "X-Body-Hash";

/// Returns up to `size` bytes, starting at `offset`, of the body of `total`
/// bytes that answers the request `id`. Thread safe.
std::string AnswerBytes(std::string_view id,
                        std::uint64_t total,
                        std::uint64_t offset,
                        std::size_t size);

/// Returns whether `bytes` equal what `AnswerBytes` generates at `offset`.
bool IsAnswerOf(std::string_view id,
                std::uint64_t offset,
                std::string_view bytes);

/// The value of `kBodyHashHeader` for a body.
std::string BodyHash(std::string_view body);
/// Formats a hash that is already computed as the value of `kBodyHashHeader`.
std::string FormatHash(std::uint64_t hash);

}  // namespace guavacross::load

#endif  // GUAVACROSS_LOAD_ANSWER_BODY_H_
