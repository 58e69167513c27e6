// Public header of LibAssignment: which backend server owns which slice, which instance dispatches for it, and the planning of moves.
#pragma once

#include <LibAssignment/MovePlanner.h>
#include <LibAssignment/ServiceRecord.h>
