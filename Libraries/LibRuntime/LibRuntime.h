// Public header of LibRuntime: threads, locks and connections of one instance.
#pragma once

#include <LibRuntime/ControlPlane.h>
#include <LibRuntime/DispatchTable.h>
#include <LibRuntime/EntryRole.h>
#include <LibRuntime/Instance.h>
