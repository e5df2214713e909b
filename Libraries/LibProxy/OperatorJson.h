#pragma once

#include <LibConfiguration/LibConfiguration.h>
#include <LibCore/JsonValue.h>

#include <memory>
#include <vector>

namespace Fuchsiastep {

// The JSON bodies of the operators' answers; docs/interfaces.md gives their fields.

/// GET /v1/operator/objects.
JsonValue toJson(const Configuration &configuration);
/// GET /v1/operator/audit.
JsonValue toJson(const AuditLog &log);
/// GET /v1/operator/routes.
JsonValue toJson(ConfigurationVersion version, const std::vector<std::shared_ptr<const Route>> &routes);

} // namespace Fuchsiastep
