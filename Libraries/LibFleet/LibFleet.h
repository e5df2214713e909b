#pragma once

// The public header of LibFleet: what all proxies know together, with a bounded number of messages.

#include <LibFleet/AllowanceBudget.h>
#include <LibFleet/AllowanceCoordinator.h>
#include <LibFleet/AllowanceMessages.h>
#include <LibFleet/AllowanceSettings.h>
#include <LibFleet/FleetExchange.h>
#include <LibFleet/FleetSection.h>
#include <LibFleet/FleetTopicHandlers.h>
#include <LibFleet/FreshnessLease.h>
