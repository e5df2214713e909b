#pragma once

// The public header of LibMembership: live members, failure detection and distribution of configurations.

#include <LibMembership/ContactKeeper.h>
#include <LibMembership/CrashSuspectCodec.h>
#include <LibMembership/CrashSuspectSet.h>
#include <LibMembership/CrashSuspectStore.h>
#include <LibMembership/CrashSuspectSync.h>
#include <LibMembership/DepartureStore.h>
#include <LibMembership/Distributor.h>
#include <LibMembership/FailureDetector.h>
#include <LibMembership/MemberRecord.h>
#include <LibMembership/MemberRecordCodec.h>
#include <LibMembership/MemberState.h>
#include <LibMembership/MembershipTable.h>
#include <LibMembership/ProbeCodec.h>
#include <LibMembership/RemoteSync.h>
#include <LibMembership/RendezvousHash.h>
#include <LibMembership/StartupGate.h>
