#pragma once

#include <cstdint>
#include <random>

namespace Common {

// A seeded random number generator: the same seed gives the same sequence.
class Random {
public:
    explicit Random(uint64_t seed)
        : m_engine(seed)
    {
    }

    // An integer in [0, limit); limit must be above 0.
    uint64_t below(uint64_t limit) { return std::uniform_int_distribution<uint64_t>(0, limit - 1)(m_engine); }
    // A real number in [0, 1).
    double unit() { return std::uniform_real_distribution<double>(0, 1)(m_engine); }
    bool chance(double probability) { return unit() < probability; }

private:
    std::mt19937_64 m_engine;
};

} // namespace Common
