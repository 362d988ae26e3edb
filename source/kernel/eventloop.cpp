#include "kernel/eventloop.h"

#include "kernel/log.h"

#include <exception>
#include <new>

namespace Bluebellquay {

void runEventLoop(boost::asio::io_context &context)
{
    for (;;) {
        try {
            context.run();
            return;
        } catch (const std::bad_alloc &) {
            throw;
        } catch (const std::exception &error) {
            LogEvent(LogLevel::Error, "handler_failed").field("reason", error.what());
        }
    }
}

} // namespace Bluebellquay
