// Public header of LibPlacement: request placement and assignment of keys to servers, without I/O or clock access.
#pragma once

#include <LibPlacement/InstanceRank.h>
#include <LibPlacement/ServerNotices.h>
#include <LibPlacement/ServicePool.h>
#include <LibPlacement/ShardGranter.h>
#include <LibPlacement/Succession.h>
#include <LibPlacement/WeightedRotation.h>
