#ifndef GUAVACROSS_POLICY_RANDOM_H_
#define GUAVACROSS_POLICY_RANDOM_H_

#include <cstdint>

namespace guavacross::policy {

/// A small pseudo-random number generator that is deterministic for a seed.
///
/// SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number
/// generators", OOPSLA 2014). Not cryptographically secure. Not thread safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : m_state(seed) {}

  /// 64 uniform bits.
  std::uint64_t Bits() {
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = m_state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }

  /// A uniform index below `count`, which must be positive.
  std::size_t Below(std::size_t count) {
    return static_cast<std::size_t>(
        (static_cast<unsigned __int128>(Bits()) * count) >> 64);
  }

  /// A uniform number in [0, 1).
  double Uniform() { return static_cast<double>(Bits() >> 11) * 0x1.0p-53; }

 private:
  std::uint64_t m_state;
};

}  // namespace guavacross::policy

#endif  // GUAVACROSS_POLICY_RANDOM_H_
