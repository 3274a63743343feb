#ifndef GUAVACROSS_OPERATORS_STATUS_PAGE_H_
#define GUAVACROSS_OPERATORS_STATUS_PAGE_H_

#include <string>

#include "operators/instance_status.h"

namespace guavacross::operators {

/// Services whose targets the page lists when it isn't asked for one service.
inline constexpr std::size_t kServicesWithTargets = 50;
/// Sections and services that the page lists.
inline constexpr std::size_t kMaxRows = 500;

/// The status page: plain HTML without scripts. `only_service` shows the
/// targets of that service alone.
std::string StatusPage(const InstanceStatus& status,
                       const std::string& only_service);

/// `text` with the characters that mean something in HTML escaped.
std::string EscapeHtml(const std::string& text);

}  // namespace guavacross::operators

#endif  // GUAVACROSS_OPERATORS_STATUS_PAGE_H_
