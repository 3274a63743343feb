#include "routing/effects.h"

#include <utility>

namespace guavacross::routing {

util::Expected<Grant> Refuse(ErrorKind kind, std::string text) {
  return {.m_error = {.m_kind = kind, .m_text = std::move(text)}};
}

void RunCallbacks(std::vector<GrantDecision> decisions) {
  for (GrantDecision& decision : decisions) {
    decision.m_on_grant(std::move(decision.m_decision));
  }
}

}  // namespace guavacross::routing
