// The public header of LibTopology.
#pragma once

#include <LibTopology/Topology.h>
