// Public header of LibHttp: event-driven HTTP/1.1 on Boost.Asio and Boost.Beast.
#pragma once

#include <LibHttp/Asio.h>
#include <LibHttp/BodyBudget.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/Listener.h>
