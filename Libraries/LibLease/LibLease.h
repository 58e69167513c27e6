// Public header of LibLease: leases that a majority of witnesses renews, and the takeover of a failed lease holder.
#pragma once

#include <LibLease/LeaseHolder.h>
#include <LibLease/LeaseTerms.h>
#include <LibLease/Takeover.h>
#include <LibLease/Witness.h>
