// Public header of the test harness: the decision code of the router with fake servers, store and network in simulated time.
#pragma once

#include <Tests/Harness/EventQueue.h>
#include <Tests/Harness/FakeInstance.h>
#include <Tests/Harness/FakeServer.h>
#include <Tests/Harness/FakeStore.h>
#include <Tests/Harness/HistoryChecker.h>
#include <Tests/Harness/Probes.h>
#include <Tests/Harness/Simulation.h>
