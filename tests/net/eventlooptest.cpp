// Guards the processes against an unexpected error in one handler.
#include "kernel/eventloop.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <new>
#include <stdexcept>

using namespace Bluebellquay;

TEST_CASE("an error in one handler ends neither the process nor the other handlers")
{
    boost::asio::io_context context;
    int handled = 0;
    boost::asio::post(context, [] { throw std::runtime_error("unexpected"); });
    boost::asio::post(context, [&] { ++handled; });
    runEventLoop(context);
    CHECK(handled == 1);
    context.restart();
    boost::asio::post(context, [] { throw std::bad_alloc(); });
    CHECK_THROWS_AS(runEventLoop(context), std::bad_alloc);
}
