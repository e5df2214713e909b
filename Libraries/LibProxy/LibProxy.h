#pragma once

// The public header of LibProxy: the runtime of the proxy and its settings.

#include <LibProxy/ProxyRuntime.h>
#include <LibProxy/ProxySettings.h>
