#pragma once

// The public header of LibFleet: what all proxies know together, with a bounded number of messages.

#include <LibFleet/FleetExchange.h>
#include <LibFleet/FleetSection.h>
#include <LibFleet/FleetTopicHandlers.h>
