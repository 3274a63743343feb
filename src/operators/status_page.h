#ifndef GUAVACROSS_OPERATORS_STATUS_PAGE_H_
#define GUAVACROSS_OPERATORS_STATUS_PAGE_H_

#include <string>

#include "operators/instance_status.h"

namespace guavacross::operators {

/// Maximum number of services whose targets the page lists if no service is
/// selected.
inline constexpr std::size_t kMaxServicesWithTargets = 50;
/// Maximum number of rows in the tables of sections, services and latencies.
inline constexpr std::size_t kMaxRows = 500;

/// Returns the status page: plain HTML without scripts. If `only_service` isn't
/// empty, only the targets of that service are listed.
std::string StatusPage(const InstanceStatus& status,
                       const std::string& only_service);

/// Returns `text` with the special characters of HTML escaped.
std::string EscapeHtml(const std::string& text);

}  // namespace guavacross::operators

#endif  // GUAVACROSS_OPERATORS_STATUS_PAGE_H_
