#pragma once

// The public header of LibRouting: which upstream takes a request, and when a request is tried again.

#include <LibMembership/CrashSuspectEntry.h>
#include <LibRouting/ColdStartRamp.h>
#include <LibRouting/CrashSuspects.h>
#include <LibRouting/DeclineMemory.h>
#include <LibRouting/EjectionPolicy.h>
#include <LibRouting/LoadEstimate.h>
#include <LibRouting/PlacementPolicy.h>
#include <LibRouting/RequestFingerprint.h>
#include <LibRouting/RetryBudget.h>
#include <LibRouting/RetryBudgets.h>
#include <LibRouting/RoutingState.h>
#include <LibRouting/UpstreamSelector.h>
#include <LibRouting/WeightedSplit.h>
