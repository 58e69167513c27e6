// Public header of LibMetrics: counters, gauges and latency histograms in the Prometheus text format.
#pragma once

#include <LibMetrics/MetricRegistry.h>
