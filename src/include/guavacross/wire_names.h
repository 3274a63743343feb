#ifndef GUAVACROSS_WIRE_NAMES_H_
#define GUAVACROSS_WIRE_NAMES_H_

/// HTTP header names and paths that callers, backend servers and guavacross
/// agree on. Header names compare without regard to case.
namespace guavacross {

// From callers.
inline constexpr char kServiceHeader[] = "Guavacross-Service";
inline constexpr char kTenantHeader[] = "Guavacross-Tenant";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
/// Milliseconds that remain until the sender's deadline. Also sent to backend
/// servers, which pass it on when they call further services.
inline constexpr char kDeadlineHeader[] = "Guavacross-Deadline-Ms";
/// Number of load balancers passed so far. Also sent to backend servers, which
/// pass it on.
inline constexpr char kHopsHeader[] = "Guavacross-Hops";

// To callers.
/// `not-run`, `done` or `unknown`.
inline constexpr char kOutcomeHeader[] = "Guavacross-Outcome";
/// The error kind's name, on answers that guavacross itself generates.
inline constexpr char kReasonHeader[] = "Guavacross-Reason";
/// `recorded` on a recorded answer to an earlier copy of the request.
inline constexpr char kReplayHeader[] = "Guavacross-Replay";

// From backend servers.
/// Requests in flight on the backend server, a decimal number.
inline constexpr char kInFlightHeader[] = "Guavacross-In-Flight";
/// `1` while the backend server is draining.
inline constexpr char kDrainingHeader[] = "Guavacross-Draining";
/// `1` on a 503 that was sent before any part of the request ran.
inline constexpr char kNotRunHeader[] = "Guavacross-Not-Run";
/// Identifies one run of the backend server.
inline constexpr char kIncarnationHeader[] = "Guavacross-Incarnation";

// Between entry instances.
/// Marks a request that a peer without a path to the targets has passed on.
inline constexpr char kRelayHeader[] = "Guavacross-Relay";
/// Attempts that the peer has made, and the milliseconds after which the
/// request may be sent again, on answers that the peer itself generates.
inline constexpr char kRelayAttemptsHeader[] = "Guavacross-Relay-Attempts";
inline constexpr char kRelayWaitHeader[] = "Guavacross-Relay-Wait-Ms";

// Paths.
inline constexpr char kAddressesPath[] = "/v1/addresses";
/// The backend servers' load endpoint, which probes request.
inline constexpr char kLoadPath[] = "/guavacross/load";

}  // namespace guavacross

#endif  // GUAVACROSS_WIRE_NAMES_H_
