#include "Http/BufferBudget.h"

#include <utility>

namespace Http {

BufferReservation::BufferReservation(BufferBudget& budget)
    : m_budget(&budget)
{
}

BufferReservation::~BufferReservation() { release(); }

BufferReservation::BufferReservation(BufferReservation&& other) noexcept
    : m_budget(other.m_budget)
    , m_bytes(std::exchange(other.m_bytes, Common::Bytes(0)))
{
}

BufferReservation& BufferReservation::operator=(BufferReservation&& other) noexcept
{
    std::swap(m_budget, other.m_budget);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

bool BufferReservation::resize(size_t bytes)
{
    Common::Bytes now(static_cast<int64_t>(bytes));
    int64_t delta = (now - std::exchange(m_bytes, now)).value();
    int64_t used = m_budget->used.fetch_add(delta) + delta;
    return now <= m_budget->guaranteed || used <= m_budget->limit.value();
}

void BufferReservation::release() { resize(0); }

} // namespace Http
