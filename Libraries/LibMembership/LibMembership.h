#pragma once

// The public header of LibMembership: live members, failure detection and distribution of configurations.

#include <LibMembership/MemberRecord.h>
