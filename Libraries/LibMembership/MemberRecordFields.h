#pragma once

// Included by codec sources only: the msgpack headers are slow to compile.

#include <LibMembership/FieldReader.h>
#include <LibMembership/FieldWriter.h>
#include <LibMembership/MemberRecord.h>

namespace Fuchsiastep {

void writeRecord(FieldWriter &writer, const MemberRecord &record);
/// False where \a object is no member record.
bool readRecord(const msgpack::object &object, MemberRecord &record);

} // namespace Fuchsiastep
