#ifndef GUAVACROSS_SERVE_ROUTE_CALLERS_H_
#define GUAVACROSS_SERVE_ROUTE_CALLERS_H_

#include "callers/caller_server.h"
#include "guavacross/route_table.h"
#include "serve/route_instance.h"

/// How a route instance serves its callers.
namespace guavacross::serve {

/// Options of the server for callers, without the number of workers and the
/// time limit of a shutdown.
callers::CallerServerOptions MakeCallerOptions(
    const RouteInstanceOptions& instance);

/// The limits of callers' connections in a route table.
callers::CallerLimits ToCallerLimits(const RequestLimits& limits);

}  // namespace guavacross::serve

#endif  // GUAVACROSS_SERVE_ROUTE_CALLERS_H_
