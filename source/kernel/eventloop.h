// Runs the event loop of a process so that an unexpected error in one handler ends that handler
// only.
#pragma once

#include <boost/asio/io_context.hpp>

namespace Bluebellquay {

// Runs the context until it is stopped or out of work. An exception that a handler lets out is
// logged, and the loop goes on with the next handler. Lack of memory is let out: what the other
// handlers do without it is not known.
void runEventLoop(boost::asio::io_context &context);

} // namespace Bluebellquay
