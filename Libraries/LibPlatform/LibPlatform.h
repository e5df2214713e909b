#pragma once

// The public header of LibPlatform: the platform's table and object store as the system sees them.

#include <LibPlatform/PlatformCall.h>
#include <LibPlatform/PlatformRequest.h>
#include <LibPlatform/PlatformResponse.h>
#include <LibPlatform/Row.h>
