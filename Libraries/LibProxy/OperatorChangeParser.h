#pragma once

#include <LibConfiguration/LibConfiguration.h>

#include <string_view>

namespace Fuchsiastep {

/// Reads the body of POST /v1/operator/changes. Fails with OperatorRequestMalformed or the code of a wrong
/// declaration; the detail names the field.
Result<OperatorChange> tryParseOperatorChange(std::string_view body);

} // namespace Fuchsiastep
