#include "guavacross/identity.h"

#include <arpa/inet.h>

#include <charconv>

namespace guavacross {

std::string ToString(const Endpoint& endpoint) {
  const bool is_v6 = endpoint.m_ip.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + endpoint.m_ip + "]" : endpoint.m_ip;
  return host + ":" + std::to_string(endpoint.m_port);
}

bool ParseEndpoint(const std::string& text, Endpoint* endpoint) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return false;
  }
  std::string ip = text.substr(0, colon);
  int family = AF_INET;
  if (ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
    family = AF_INET6;
  }
  unsigned char parsed[sizeof(in6_addr)];
  if (inet_pton(family, ip.c_str(), parsed) != 1) {
    return false;
  }
  std::uint16_t port = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] =
      std::from_chars(text.data() + colon + 1, last, port);
  if (error != std::errc() || end != last || port == 0) {
    return false;
  }
  *endpoint = Endpoint{.m_ip = ip, .m_port = port};
  return true;
}

}  // namespace guavacross
