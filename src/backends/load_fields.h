#ifndef GUAVACROSS_BACKENDS_LOAD_FIELDS_H_
#define GUAVACROSS_BACKENDS_LOAD_FIELDS_H_

#include "guavacross/routing.h"
#include "http/message.h"

namespace guavacross::backends {

/// What the header of a backend server's answer says of its load. Values that
/// can't be read are left out.
LoadReport ReadLoad(const http::Fields& fields);

/// Whether an answer refuses the request before anything of it was run.
bool IsNotRunRefusal(const http::ResponseHead& head);

}  // namespace guavacross::backends

#endif  // GUAVACROSS_BACKENDS_LOAD_FIELDS_H_
