// Loopback ports for processes whose settings must name a port before they start.
#pragma once

namespace Bluebellquay::Testing {

// Ports lie below the range from which the kernel takes ports of outgoing connections, so that a
// port that was free once is not taken by a connection before the process listens on it.
class PortPool
{
public:
    PortPool();
    // A port that nothing listens on now. Throws std::runtime_error if none is left.
    unsigned short next();

private:
    unsigned m_next;
};

} // namespace Bluebellquay::Testing
