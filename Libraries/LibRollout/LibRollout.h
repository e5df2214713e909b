#pragma once

// The public header of LibRollout: moving a service to another version under watch.

#include <LibRollout/RolloutController.h>
#include <LibRollout/RolloutJudgement.h>
#include <LibRollout/RolloutMessages.h>
#include <LibRollout/RolloutProtocol.h>
#include <LibRollout/RolloutState.h>
#include <LibRollout/RunCounts.h>
#include <LibRollout/RunRecorder.h>
#include <LibRollout/VersionSplit.h>
