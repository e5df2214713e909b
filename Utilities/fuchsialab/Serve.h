#pragma once

#include "ExperimentOptions.h"

namespace Fuchsiastep {

/// Starts the fleet of the plan, prints its addresses as one line of JSON, and keeps it until standard input
/// closes. Fails with the error of a start or WaitTimeout.
Result<Done> tryServe(const ExperimentOptions &options);

} // namespace Fuchsiastep
