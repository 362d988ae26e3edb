// Fencing token that the calls of this incarnation of an agent carry. A worker carries out no call
// with a lower token than it has seen, so that late calls of earlier incarnations have no effect.
//
// The token starts with the time of day. The clock may have been ahead when an earlier incarnation
// started, or may have been set back since. This process is the only one that sends calls to its
// worker, so it may raise its token when the worker refuses it.
#pragma once

#include <cstdint>

namespace Bluebellquay {

class FencingToken
{
public:
    // In milliseconds, as the time that the token begins with.
    static constexpr std::uint64_t FirstIncrement = 1'000;

    explicit FencingToken(std::uint64_t start)
        : m_value(start)
    { }

    std::uint64_t value() const { return m_value; }

    // Calls that were sent before do nothing any more once the worker has seen the new number.
    void raise() { ++m_value; }

    // The worker knows a higher number than this one, which a call has carried. Each raise is twice
    // the one before; calls that carried the same number raise it once.
    void refused(std::uint64_t sent)
    {
        if (sent != m_value)
            return;
        m_value += m_increment;
        m_increment *= 2;
    }

private:
    std::uint64_t m_value;
    std::uint64_t m_increment = FirstIncrement;
};

} // namespace Bluebellquay
