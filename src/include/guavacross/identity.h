#ifndef GUAVACROSS_IDENTITY_H_
#define GUAVACROSS_IDENTITY_H_

#include <compare>
#include <cstdint>
#include <string>

namespace guavacross {

/// A TCP address: a numeric IP address and a port.
struct Endpoint {
  std::string m_ip;
  std::uint16_t m_port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads `<=>`
  auto operator<=>(const Endpoint&) const = default;
};

/// The address as `ip:port`.
std::string ToString(const Endpoint& endpoint);

/// Parses `ip:port`. Returns false and leaves `endpoint` unchanged if the text
/// is anything else.
bool ParseEndpoint(const std::string& text, Endpoint* endpoint);

/// One run of an instance: its name in the instance list and an incarnation
/// number that is greater for each later start under that name.
struct InstanceId {
  std::string m_name;
  std::uint64_t m_incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): misread by clang-tidy 14.
  auto operator<=>(const InstanceId&) const = default;
};

}  // namespace guavacross

#endif  // GUAVACROSS_IDENTITY_H_
