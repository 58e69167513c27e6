// Runs the store client's calls to their end.
#pragma once

#include <platform/Platform.h>

#include <cppunit/TestAssert.h>

#include <optional>

namespace Goldcrestwall::Platform {

// Runs a task on the event loop until it completes and returns its result.
template<typename T>
T await(boost::asio::io_context &loop, Gateway::Task<T> task)
{
    std::optional<T> result;
    boost::asio::co_spawn(loop, std::move(task), [&result](const std::exception_ptr &error, T value) {
        CPPUNIT_ASSERT(!error);
        result = std::move(value);
    });
    loop.restart();
    loop.run();
    CPPUNIT_ASSERT(result);
    return std::move(*result);
}

} // namespace Goldcrestwall::Platform
