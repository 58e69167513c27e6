// The public header of LibGateway: an event-driven instance that serves callers on the platform.
#pragma once

#include <LibGateway/Gateway.h>
