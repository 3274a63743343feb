#ifndef GUAVACROSS_LOG_SERVICE_HTTP_LOG_ACCESS_H_
#define GUAVACROSS_LOG_SERVICE_HTTP_LOG_ACCESS_H_

#include <string>

#include "guavacross/identity.h"
#include "guavacross/log_service.h"
#include "guavacross/time.h"

/// The platform's log service over HTTP.
///
/// `POST /streams/STREAM/records` with the record as the body appends it: 201
/// with `{"offset": N}`; 429 if the service refuses for its rate limit, and the
/// record is not in the log. Any other end leaves the append unclear, but for a
/// connection that could not be made.
///
/// `GET /streams/STREAM/records?from=N&max=M&wait_ms=W` reads: 200 with
/// `{"first": F, "end": E, "records": [{"offset": N, "data": "BASE64"}]}`. A
/// read of an expired offset starts at F; one from E on waits up to W for a
/// record and is answered with none if none comes.
namespace guavacross::log_service {

/// Makes access to the log service at `endpoint`. Use it on one thread, with
/// an event loop; no callback comes after the last copy is destroyed.
///
/// Qt's network access sends a POST again when a connection closes before the
/// answer, so one append may leave two equal records. Records therefore carry
/// ids (edit ids, claim ids), and readers take no notice of a second one. An
/// append that was sent more than once is never reported as rejected.
LogAccess MakeLogAccess(const Endpoint& endpoint, const Clock& clock);

/// Reads the body of a read's answer. Errors: `kLogUnavailable`.
Result<LogBatch> ParseBatch(const std::string& json);

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_HTTP_LOG_ACCESS_H_
