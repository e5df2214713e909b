#pragma once

#include <LibConfiguration/OperatorChange.h>

namespace Fuchsiastep {

/// Checks what can be checked without a configuration. Fails with OperatorRequestMalformed, ChangeEmpty,
/// DuplicateObject or DeclarationMalformed.
Result<Done> tryValidateChange(const OperatorChange &change);

} // namespace Fuchsiastep
