#include "serve/route_callers.h"

#include <cstddef>

namespace guavacross::serve {

callers::CallerServerOptions MakeCallerOptions(
    const RouteInstanceOptions& instance) {
  callers::CallerServerOptions options;
  options.m_listen = instance.m_callers;
  options.m_local_listen = instance.m_local;
  options.m_peer_listen = instance.m_relay;
  options.m_max_connections = instance.m_max_caller_connections;
  options.m_target_source_ip = instance.m_target_source_ip;
  options.m_region = instance.m_region;
  options.m_zone = instance.m_zone;
  options.m_half_close_is_disconnect = true;
  options.m_close_while_leaving = true;
  options.m_max_pipelined = instance.m_max_pipelined;
  options.m_log_requests = true;
  return options;
}

callers::CallerLimits ToCallerLimits(const RequestLimits& limits) {
  callers::CallerLimits out;
  out.m_max_header_bytes = static_cast<std::size_t>(limits.m_max_header_bytes);
  out.m_header_time = limits.m_header_time;
  out.m_idle_time = limits.m_idle_time;
  return out;
}

}  // namespace guavacross::serve
