// Fuzz test of the HTTP message reader. Whether the input contains a complete
// message, and its content, must not depend on how the input is split into
// pieces. An incomplete message may be rejected earlier or later.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "http/message_reader.h"
#include "util/handle.h"

namespace guavacross::http {

namespace {

// Result of reading one message.
struct ReadOutcome {
  std::string m_head;
  std::string m_body;
  std::size_t m_consumed = 0;
  bool m_failed = false;
  bool m_done = false;

  bool operator==(const ReadOutcome&) const = default;
};

ReadOutcome Read(bool request, std::string_view bytes, std::size_t step) {
  ReadOutcome outcome;
  MessageReader::Hooks hooks;
  hooks.m_on_request = [&](const RequestHead& head) {
    outcome.m_head = Serialize(head);
  };
  hooks.m_on_response = [&](const ResponseHead& head) {
    outcome.m_head = Serialize(head);
  };
  hooks.m_on_body = [&](std::string_view piece) { outcome.m_body += piece; };
  const ReadLimits limits{.m_max_header_bytes = 512, .m_max_body_bytes = 4096};
  MessageReader reader = request
                             ? MessageReader::ForRequest(limits, hooks)
                             : MessageReader::ForResponse(limits, false, hooks);
  for (std::size_t at = 0; at < bytes.size() && !reader.done(); at += step) {
    const auto consumed =
        util::Catch([&] { return reader.Feed(bytes.substr(at, step)); });
    if (!consumed) {
      outcome.m_failed = true;
      return outcome;
    }
    outcome.m_consumed += *consumed.m_value;
  }
  outcome.m_done = reader.done();
  return outcome;
}

void CheckOneMessage(bool request, std::string_view bytes) {
  const ReadOutcome whole = Read(request, bytes, bytes.size() + 1);
  const ReadOutcome pieces = Read(request, bytes, 1);
  const bool agree = (!whole.m_done && !pieces.m_done) || whole == pieces;
  if (!agree) {
    std::abort();
  }
}

}  // namespace

}  // namespace guavacross::http

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  guavacross::http::CheckOneMessage(true, bytes);
  guavacross::http::CheckOneMessage(false, bytes);
  return 0;
}
