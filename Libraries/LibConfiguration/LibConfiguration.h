#pragma once

// The public header of LibConfiguration: declared objects, configuration versions, deltas and views.

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/ConfigurationDelta.h>
#include <LibConfiguration/ConfigurationHolder.h>
#include <LibConfiguration/DeclaredObject.h>
#include <LibConfiguration/Endpoint.h>
#include <LibConfiguration/Labels.h>
#include <LibConfiguration/ObjectName.h>
#include <LibConfiguration/Route.h>
#include <LibConfiguration/RouteRules.h>
#include <LibConfiguration/Selector.h>
#include <LibConfiguration/ServiceDeclaration.h>
#include <LibConfiguration/UpstreamLabels.h>
#include <LibConfiguration/View.h>
