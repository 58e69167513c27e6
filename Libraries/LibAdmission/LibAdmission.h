// Public header of LibAdmission: admission limits, queues, cold starts, duplicate detection, retry budgets and server selection. The
// library does no I/O and reads no clock.
#pragma once

#include <LibAdmission/ColdStartLimiter.h>
#include <LibAdmission/FairQueue.h>
#include <LibAdmission/HedgePolicy.h>
#include <LibAdmission/LoadMeter.h>
#include <LibAdmission/RateLimiter.h>
#include <LibAdmission/RetryBudget.h>
#include <LibAdmission/SeenRequests.h>
#include <LibAdmission/ServerGate.h>
#include <LibAdmission/ServerHealth.h>
#include <LibAdmission/TargetSelector.h>
