#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Common {

// A strongly typed wrapper of a Rep without implicit conversions. Tag distinguishes types with the same Rep.
template <typename Tag, typename Rep> class StrongId {
public:
    using ValueType = Rep;

    StrongId() = default;
    explicit StrongId(Rep value)
        : m_value(std::move(value))
    {
    }

    const Rep& value() const { return m_value; }

    friend auto operator<=>(const StrongId&, const StrongId&) = default;
    friend bool operator==(const StrongId&, const StrongId&) = default;
    friend std::ostream& operator<<(std::ostream& out, const StrongId& id) { return out << id.m_value; }

private:
    Rep m_value {};
};

// A number with a unit. It can be added to its own type only, and scaled by plain numbers.
template <typename Tag, typename Rep> class Quantity {
public:
    using ValueType = Rep;

    constexpr Quantity() = default;
    constexpr explicit Quantity(Rep value)
        : m_value(value)
    {
    }

    constexpr Rep value() const { return m_value; }

    constexpr Quantity& operator+=(Quantity other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr Quantity& operator-=(Quantity other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend constexpr Quantity operator+(Quantity a, Quantity b) { return Quantity(a.m_value + b.m_value); }
    friend constexpr Quantity operator-(Quantity a, Quantity b) { return Quantity(a.m_value - b.m_value); }
    friend constexpr Quantity operator*(Quantity a, Rep n) { return Quantity(a.m_value * n); }
    friend constexpr Quantity operator/(Quantity a, Rep n) { return Quantity(a.m_value / n); }
    friend constexpr auto operator<=>(Quantity, Quantity) = default;
    friend constexpr bool operator==(Quantity, Quantity) = default;
    friend std::ostream& operator<<(std::ostream& out, Quantity q) { return out << q.m_value; }

private:
    Rep m_value {};
};

} // namespace Common

template <typename Tag, typename Rep> struct std::hash<Common::StrongId<Tag, Rep>> {
    size_t operator()(const Common::StrongId<Tag, Rep>& id) const noexcept { return std::hash<Rep> {}(id.value()); }
};

template <typename Tag, typename Rep> struct std::hash<Common::Quantity<Tag, Rep>> {
    size_t operator()(Common::Quantity<Tag, Rep> q) const noexcept { return std::hash<Rep> {}(q.value()); }
};
