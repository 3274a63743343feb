#ifndef GUAVACROSS_LOG_SERVICE_HTTP_LOG_ACCESS_H_
#define GUAVACROSS_LOG_SERVICE_HTTP_LOG_ACCESS_H_

#include <string>

#include "guavacross/identity.h"
#include "guavacross/log_service.h"
#include "guavacross/time.h"

/// The platform's log service over HTTP.
///
/// `POST /streams/STREAM/records` appends the body as one record: 201 with
/// `{"offset": N}`; 429 if the rate limit is exceeded, and the record is not in
/// the log. A failed connection attempt also means that the record is not in
/// the log; after any other outcome it is unknown whether it is.
///
/// `GET /streams/STREAM/records?from=N&max=M&wait_ms=W` reads: 200 with
/// `{"first": F, "end": E, "records": [{"offset": N, "data": "BASE64"}]}`. A
/// read of an expired offset starts at F. A read from E or later waits up to W
/// for a record and returns none if none arrives.
namespace guavacross::log_service {

/// Returns access to the log service at `endpoint`. Not thread safe: to be used
/// on one thread that runs an event loop. No callback is called after the last
/// copy is destroyed.
///
/// A POST is sent again if its connection closes before the response, so one
/// append may leave two equal records. Records therefore carry
/// ids (edit ids, claim ids), and readers ignore duplicates. An append that was
/// sent more than once is never reported as rejected.
LogAccess MakeLogAccess(const Endpoint& endpoint, const Clock& clock);

/// Parses the body of a read response. Errors: `kLogUnavailable`.
Result<LogBatch> ParseBatch(const std::string& json);

}  // namespace guavacross::log_service

#endif  // GUAVACROSS_LOG_SERVICE_HTTP_LOG_ACCESS_H_
