#pragma once

// The public header of LibConfiguration: declared objects, configuration versions, deltas, views, changes and readers.

#include <LibConfiguration/AuditLog.h>
#include <LibConfiguration/ChangeCommitter.h>
#include <LibConfiguration/ChangeRow.h>
#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/ConfigurationDelta.h>
#include <LibConfiguration/ConfigurationHolder.h>
#include <LibConfiguration/ConfigurationReader.h>
#include <LibConfiguration/DeclarationJson.h>
#include <LibConfiguration/Declarations.h>
#include <LibConfiguration/DeclaredObject.h>
#include <LibConfiguration/DocumentReader.h>
#include <LibConfiguration/Endpoint.h>
#include <LibConfiguration/HeadRow.h>
#include <LibConfiguration/HostRoutes.h>
#include <LibConfiguration/Labels.h>
#include <LibConfiguration/ObjectName.h>
#include <LibConfiguration/ObjectRow.h>
#include <LibConfiguration/ObjectValidation.h>
#include <LibConfiguration/OperatorChange.h>
#include <LibConfiguration/Route.h>
#include <LibConfiguration/RouteRules.h>
#include <LibConfiguration/RowKeys.h>
#include <LibConfiguration/Selector.h>
#include <LibConfiguration/ServiceDeclaration.h>
#include <LibConfiguration/SnapshotObject.h>
#include <LibConfiguration/UpstreamLabels.h>
#include <LibConfiguration/View.h>
#include <LibConfiguration/Workspace.h>
