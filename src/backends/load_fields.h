#ifndef GUAVACROSS_BACKENDS_LOAD_FIELDS_H_
#define GUAVACROSS_BACKENDS_LOAD_FIELDS_H_

#include "guavacross/routing.h"
#include "http/message.h"

namespace guavacross::backends {

/// Parses the load headers of a backend server's response. Values that can't be
/// parsed are left unset.
LoadReport ReadLoad(const http::Fields& fields);

/// Whether a response refuses the request before any of it was executed.
bool IsNotRunRefusal(const http::ResponseHead& head);

}  // namespace guavacross::backends

#endif  // GUAVACROSS_BACKENDS_LOAD_FIELDS_H_
