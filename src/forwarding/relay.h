#ifndef GUAVACROSS_FORWARDING_RELAY_H_
#define GUAVACROSS_FORWARDING_RELAY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "forwarding/own_answer.h"
#include "guavacross/error.h"
#include "guavacross/outcome.h"
#include "guavacross/time.h"
#include "http/message.h"

/// Requests that an instance without a path to the targets passes on to a peer,
/// by HTTP on an address that only instances connect to.
namespace guavacross::forwarding {

/// What the sender tells the peer about a request. Header fields of callers
/// with the same name are removed.
struct RelayMark {
  /// Instances of another cluster are refused.
  std::string m_cluster;
  /// The sender's name.
  std::string m_from;
  /// Attempts that the sender has made itself.
  int m_attempts = 0;
  /// The waiting time that the caller stated; zero if it stated none.
  Duration m_caller_timeout{};
  /// Version of the sender's configuration. A peer with an older one refuses.
  std::uint64_t m_config_version = 0;
  /// `routing::ServiceHash` of the service that the sender has picked.
  std::uint32_t m_service_hash = 0;

  bool operator==(const RelayMark&) const = default;
};

/// How an instance presents itself to the peers that it passes requests on to.
struct RelayIdentity {
  std::string m_cluster;
  std::string m_name;
  /// The version of the configuration in force. Thread safe.
  std::function<std::uint64_t()> m_config_version;
};

/// A peer's own answer to a request that was passed on to it, as opposed to the
/// answer of a target.
struct RelayRefusal {
  Outcome m_outcome = Outcome::kUnknown;
  Error m_error;
  /// Attempts that the peer has made.
  int m_attempts = 0;

  bool operator==(const RelayRefusal&) const = default;
};

std::string FormatRelayMark(const RelayMark& mark);
/// Returns nothing for a value that isn't a mark of this version.
std::optional<RelayMark> ParseRelayMark(std::string_view text);

/// Adds the fields by which the sender of a request recognises a peer's own
/// answer. `id_header` and `request` say which request it belongs to.
void AddRelayRefusal(const RelayRefusal& refusal,
                     const std::string& id_header,
                     const http::RequestHead& request,
                     http::ResponseHead* answer);
/// Removes these fields from a target's answer.
void RemoveRelayRefusal(http::ResponseHead* answer);
/// Returns nothing for a target's answer.
std::optional<RelayRefusal> ReadRelayRefusal(const http::ResponseHead& answer);

/// Whether a refusal concerns the peer and not the request: it has no path to
/// the targets, or can't decide about the request.
bool IsPeerUnfit(ErrorKind kind);

}  // namespace guavacross::forwarding

#endif  // GUAVACROSS_FORWARDING_RELAY_H_
