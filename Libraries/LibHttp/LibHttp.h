// Public header of LibHttp: event-driven HTTP/1.1 on Boost.Asio and Boost.Beast, and checked responses on sessions of POCO.
#pragma once

#include <LibHttp/Asio.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/InputBuffer.h>
#include <LibHttp/Listener.h>
#include <LibHttp/MemoryAccount.h>
#include <LibHttp/ResponseHead.h>
#include <LibHttp/SessionReader.h>
