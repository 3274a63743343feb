// Parses arbitrary text as a document and as a section. Each section of an
// accepted document must parse to the same result from its own text.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "guavacross/document.h"
#include "util/handle.h"

namespace guavacross {

namespace {

void CheckDocument(std::string_view text) {
  const auto services = util::Catch([&] { return ParseDocument(text); });
  const auto sections = util::Catch([&] { return SplitDocument(text); });
  if (static_cast<bool>(services) != static_cast<bool>(sections)) {
    std::abort();
  }
  if (!services) {
    return;
  }
  for (std::size_t i = 0; i < sections.m_value->size(); ++i) {
    const SectionText& section = sections.m_value->at(i);
    const auto again = util::Catch(
        [&] { return ParseSection(section.m_name, section.m_toml); });
    if (!again || !(*again.m_value == services.m_value->at(i))) {
      std::abort();
    }
  }
}

}  // namespace

}  // namespace guavacross

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  guavacross::CheckDocument(text);
  guavacross::util::Catch(
      [&] { return guavacross::ParseSection("catalog", text); });
  return 0;
}
