// Decodes arbitrary bytes as records of the config and snapshot streams. What
// can be decoded must be equal after encoding and decoding again, and two folds
// of the same records must end in equal states.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "guavacross/config_state.h"
#include "util/handle.h"

namespace guavacross {

namespace {

void CheckEdit(const std::string& data) {
  const auto edit = util::Catch([&] { return DecodeEdit(data); });
  if (!edit) {
    return;
  }
  const auto again =
      util::Catch([&] { return DecodeEdit(EncodeEdit(*edit.m_value)); });
  if (!again || !(*again.m_value == *edit.m_value)) {
    std::abort();
  }
}

void CheckSnapshot(const std::string& data) {
  const auto snapshot = util::Catch([&] { return DecodeSnapshot(data); });
  if (!snapshot) {
    return;
  }
  const auto again = util::Catch(
      [&] { return DecodeSnapshot(EncodeSnapshot(*snapshot.m_value)); });
  if (!again || !(*again.m_value == *snapshot.m_value)) {
    std::abort();
  }
}

void CheckFold(const std::string& data) {
  ConfigFold one;
  ConfigFold other;
  // Each fold gets the same record twice; a repeated edit has no visible
  // effect.
  for (std::uint64_t offset = 0; offset < 2; ++offset) {
    one.Apply(offset, data);
    other.Apply(offset, data);
  }
  if (!(one.state() == other.state()) || one.Digest() != other.Digest()) {
    std::abort();
  }
}

}  // namespace

}  // namespace guavacross

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  guavacross::CheckEdit(bytes);
  guavacross::CheckSnapshot(bytes);
  guavacross::CheckFold(bytes);
  return 0;
}
