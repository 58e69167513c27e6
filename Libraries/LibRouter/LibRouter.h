// Public header of LibRouter: decision logic of the entry role and the dispatcher role. The library does no I/O and reads no clock.
#pragma once

#include <LibRouter/AccessControl.h>
#include <LibRouter/RetryPolicy.h>
#include <LibRouter/RoutePlanner.h>
#include <LibRouter/ServerDispatcher.h>
