#pragma once

#include <LibCore/JsonValue.h>
#include <LibCore/Result.h>
#include <fuchsiactl/ControlRequest.h>

namespace Fuchsiastep::ControlTool {

/// The JSON body of an answer with a status of 2xx, or the error that the proxy tells. A body that does not name a
/// known result code gives OperatorRequestMalformed with the status in the detail; a success whose body is not JSON
/// gives JsonMalformed.
Result<JsonValue> tryReadAnswer(const ControlAnswer &answer);

} // namespace Fuchsiastep::ControlTool
