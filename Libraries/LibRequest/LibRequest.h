#pragma once

// The public header of LibRequest: the life of a request on the caller side and on the upstream side.

#include <LibRequest/AdmissionQueue.h>
#include <LibRequest/AnswerAssembly.h>
#include <LibRequest/AnswerTransfers.h>
#include <LibRequest/ClaimLedger.h>
#include <LibRequest/ClaimMessages.h>
#include <LibRequest/ClaimRecord.h>
#include <LibRequest/CoordinatorInput.h>
#include <LibRequest/CoordinatorOutput.h>
#include <LibRequest/DrainAdmission.h>
#include <LibRequest/DrainRequested.h>
#include <LibRequest/FairQueue.h>
#include <LibRequest/GateInput.h>
#include <LibRequest/GateOutput.h>
#include <LibRequest/PriorityHeader.h>
#include <LibRequest/RequestCoordinator.h>
#include <LibRequest/RequestCounts.h>
#include <LibRequest/ServiceTimes.h>
#include <LibRequest/TransferForecast.h>
#include <LibRequest/TransitDelay.h>
#include <LibRequest/TransitDelays.h>
#include <LibRequest/UpstreamGate.h>
#include <LibRequest/WorkspaceAuthentication.h>
