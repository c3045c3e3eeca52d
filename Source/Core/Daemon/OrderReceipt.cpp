#include "Daemon/OrderReceipt.h"

#include <atomic>

namespace Daemon {

namespace {

    // The end of a connection is sent again together with what precedes it, or a round trip later.
    constexpr Common::Milliseconds endDelay { 20 };

} // namespace

void whenReceived(
    Common::Timers& timers, const std::shared_ptr<Http::Caller>& caller, std::function<void(bool isAwaited)> fn)
{
    auto isAwaited = std::make_shared<std::atomic<bool>>(true);
    caller->onDisconnect([isAwaited] { *isAwaited = false; });
    timers.after(endDelay, [isAwaited, caller, fn = std::move(fn)] {
        // After a suspension, this timer may come before the end of the connection is read.
        caller->checkOpen([isAwaited, fn](bool isOpen) { fn(isOpen && *isAwaited); });
    });
}

} // namespace Daemon
