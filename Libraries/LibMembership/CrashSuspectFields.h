#pragma once

// Included by codec sources only: the msgpack headers are slow to compile.

#include <LibConfiguration/MsgpackReader.h>
#include <LibConfiguration/MsgpackWriter.h>
#include <LibMembership/CrashSuspectEntry.h>

namespace Fuchsiastep {

void writeCrashSuspect(MsgpackWriter &writer, const CrashSuspectEntry &entry);
/// Reads the next item of \a reader.
CrashSuspectEntry takeCrashSuspect(MsgpackReader &reader);

} // namespace Fuchsiastep
