#pragma once

namespace Limits {

// Which part of the calls is taken on, so that those which are taken are answered in time. When the servers have more
// to do than they can, calls wait in their queues and nearly all are late; some fewer are all in time. It learns from
// how many of the answers came late. Plain data: the caller keeps it under a lock.
struct LoadShedder {
    double lateShare { 0 }; // Moving average over the answers.
    double admitted { 1 };
};

void recordAnswer(LoadShedder&, bool isLate);
// `chance` is a random number in [0, 1).
bool shouldAdmit(const LoadShedder&, double chance);

} // namespace Limits
