#pragma once

#include "Common/Timers.h"
#include "Http/Message.h"

#include <functional>
#include <memory>

namespace Daemon {

// Calls fn once, from any thread, with whether the caller still waits for the answer. For orders that name no version
// and must not be obeyed late, when a newer one may have been. The caller of an order that a suspended process or a
// partition held up has given up, and the end of its connection arrives with the order: fn is called once that has been
// seen. A caller that closes its sending side counts as one that has given up.
void whenReceived(Common::Timers&, const std::shared_ptr<Http::Caller>&, std::function<void(bool isAwaited)> fn);

} // namespace Daemon
