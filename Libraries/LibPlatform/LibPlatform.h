#pragma once

// The public header of LibPlatform: the platform's table and object store as the system sees them,
// the client, and the store and service that stand in for the platform.

#include <LibPlatform/PlatformCall.h>
#include <LibPlatform/PlatformClient.h>
#include <LibPlatform/PlatformClientSettings.h>
#include <LibPlatform/PlatformCodec.h>
#include <LibPlatform/PlatformCounters.h>
#include <LibPlatform/PlatformEra.h>
#include <LibPlatform/PlatformFaultPlan.h>
#include <LibPlatform/PlatformFaultSettings.h>
#include <LibPlatform/PlatformFaults.h>
#include <LibPlatform/PlatformHttpAnswer.h>
#include <LibPlatform/PlatformHttpRequest.h>
#include <LibPlatform/PlatformHttpService.h>
#include <LibPlatform/PlatformLimits.h>
#include <LibPlatform/PlatformRequest.h>
#include <LibPlatform/PlatformResponse.h>
#include <LibPlatform/PlatformRestoreFault.h>
#include <LibPlatform/PlatformStore.h>
#include <LibPlatform/RevisionedRows.h>
#include <LibPlatform/Row.h>
