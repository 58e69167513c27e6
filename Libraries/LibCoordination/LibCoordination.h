// Public header of LibCoordination: the control plane of one instance, without I/O. It joins the deployment, holds a lease, acts as
// witness, takes over failed instances, distributes records and moves ownership.
#pragma once

#include <LibCoordination/Actions.h>
#include <LibCoordination/ClusterRecord.h>
#include <LibCoordination/Coordinator.h>
#include <LibCoordination/Messages.h>
#include <LibCoordination/RecordCatalog.h>
#include <LibCoordination/RecordKey.h>
