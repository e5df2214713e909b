#pragma once

// Included by codec sources only: the msgpack headers are slow to compile.

#include <LibConfiguration/MsgpackReader.h>
#include <LibConfiguration/MsgpackWriter.h>
#include <LibMembership/MemberRecord.h>

namespace Fuchsiastep {

void writeRecord(MsgpackWriter &writer, const MemberRecord &record);
/// Reads the next item of \a reader. A record without an id is not valid; the caller checks that.
MemberRecord takeRecord(MsgpackReader &reader);

} // namespace Fuchsiastep
