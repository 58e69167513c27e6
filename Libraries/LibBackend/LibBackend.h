// Public header of LibBackend: requests, grants, probes and cancellations sent to backend servers.
#pragma once

#include <LibBackend/BackendClient.h>
#include <LibBackend/HttpExchange.h>
