// Public header of LibCaller: HTTP interface for callers.
#pragma once

#include <LibCaller/CallerServer.h>
