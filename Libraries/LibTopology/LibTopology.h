// Public header of LibTopology: routes, services and backend servers of a deployment.
#pragma once

#include <LibTopology/Topology.h>
