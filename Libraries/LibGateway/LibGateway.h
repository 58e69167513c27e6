// Public header of LibGateway: an event-driven router instance that serves callers on the platform.
#pragma once

#include <LibGateway/Gateway.h>
