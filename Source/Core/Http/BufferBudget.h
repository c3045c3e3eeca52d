#pragma once

#include "Common/Units.h"

#include <atomic>

namespace Http {

// Bytes of messages that all connections of the process buffer together. Messages up to `guaranteed` are accepted even
// when the budget is used up, so that large ones do not displace them.
struct BufferBudget {
    Common::Bytes limit;
    Common::Bytes guaranteed;
    std::atomic<int64_t> used { 0 };
};

// What one message uses of a budget. Releases it when destroyed.
class BufferReservation {
public:
    explicit BufferReservation(BufferBudget&);
    ~BufferReservation();
    BufferReservation(BufferReservation&&) noexcept;
    BufferReservation& operator=(BufferReservation&&) noexcept;

    // Returns false if the message must be given up.
    bool resize(size_t bytes);
    void release();

private:
    BufferBudget* m_budget;
    Common::Bytes m_bytes;
};

} // namespace Http
