// Public header of LibPlatform: the client for the platform's key-value service and its list of instances.
#pragma once

#include <LibPlatform/StoreClient.h>
