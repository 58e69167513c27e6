// The public header of LibPlacement: decisions on where requests go and which server holds which keys, free of I/O and clocks.
#pragma once

#include <LibPlacement/InstanceRank.h>
#include <LibPlacement/ServicePool.h>
#include <LibPlacement/ShardGranter.h>
#include <LibPlacement/WeightedRotation.h>
