#include "feed/testing/drawn_faults.h"

#include <algorithm>
#include <utility>

namespace guavacross::feed::testing {

void DrawnFaults::Inject() {
  const std::size_t size = m_group->size();
  switch (m_random->Below(7)) {
    case 0:  // One instance is killed.
      StopFor(m_random->Below(size), Draw(200, 1500));
      break;
    case 1:  // The first availability zone loses power.
      for (std::size_t i = 0; i < (size + 3) / 4; ++i) {
        StopFor(i, Draw(1000, 8000));
      }
      break;
    case 2:  // Many instances are killed at once.
      for (std::size_t i = 0; i < size; ++i) {
        if (m_random->Below(10) < 7) {
          StopFor(i, Draw(200, 3000));
        }
      }
      break;
    case 3:  // Some instances lose the store, those that read it first.
      for (std::size_t i = 0; i < std::min<std::size_t>(4, size); ++i) {
        CutFor(&InstanceGroup::Instance::m_cut_from_store, i, Draw(500, 6000));
      }
      break;
    case 4: {  // One instance is cut off from everything.
      const std::size_t index = m_random->Below(size);
      const Duration duration = Draw(500, 6000);
      CutFor(&InstanceGroup::Instance::m_cut_from_store, index, duration);
      CutFor(&InstanceGroup::Instance::m_cut_from_peers, index, duration);
      break;
    }
    case 5:  // All instances are killed.
      for (std::size_t i = 0; i < size; ++i) {
        StopFor(i, Draw(200, 1500));
      }
      break;
    default:
      RestoreStore();
  }
}

void DrawnFaults::EndDue() {
  while (!m_ends.empty() && m_ends.begin()->first <= m_group->now()) {
    const std::function<void()> end = std::move(m_ends.begin()->second);
    m_ends.erase(m_ends.begin());
    end();
  }
}

void DrawnFaults::StopFor(std::size_t index, Duration duration) {
  m_group->Stop(index);
  EndAfter(duration, [this, index] { m_group->Start(index); });
}

void DrawnFaults::CutFor(bool InstanceGroup::Instance::*cut,
                         std::size_t index,
                         Duration duration) {
  (*m_group)[index].*cut = true;
  EndAfter(duration, [this, cut, index] { (*m_group)[index].*cut = false; });
}

void DrawnFaults::RestoreStore() {
  if (m_group->store_away()) {
    return;
  }
  m_group->TakeStoreAway();
  const TimePoint copied_at = m_group->now() - Draw(0, 3000);
  EndAfter(Draw(100, 2000), [this, copied_at] {
    m_group->BringStoreBack(copied_at);
    m_on_restored();
  });
}

}  // namespace guavacross::feed::testing
