#pragma once

// The public header of LibLab: a deployment emulated by processes on one machine, for tests, experiments and the demo.

#include <LibLab/AcceptedChange.h>
#include <LibLab/DeploymentPlan.h>
#include <LibLab/Fleet.h>
#include <LibLab/FleetClient.h>
#include <LibLab/FleetOptions.h>
#include <LibLab/HttpCall.h>
#include <LibLab/HttpReply.h>
#include <LibLab/Instance.h>
#include <LibLab/JsonNumbers.h>
#include <LibLab/LabHttp.h>
#include <LibLab/LabLoop.h>
#include <LibLab/LabProcess.h>
#include <LibLab/LabSession.h>
#include <LibLab/PlatformLink.h>
#include <LibLab/ProcessCommand.h>
#include <LibLab/ProxyStatus.h>
#include <LibLab/ServicePlan.h>
#include <LibLab/TemporaryFolder.h>
#include <LibLab/ToolRun.h>
#include <LibLab/UpstreamRuns.h>
#include <LibLab/VersionWatch.h>
