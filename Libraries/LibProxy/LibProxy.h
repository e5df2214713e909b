#pragma once

// The public header of LibProxy: the runtime of the proxy.

#include <LibProxy/ProxySettings.h>
