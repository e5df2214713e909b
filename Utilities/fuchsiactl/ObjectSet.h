#pragma once

#include <LibCore/JsonValue.h>
#include <LibCore/Result.h>
#include <fuchsiactl/ControlPoint.h>
#include <fuchsiactl/ObjectKinds.h>

#include <cstdint>
#include <map>
#include <string>

namespace Fuchsiastep::ControlTool {

/// Objects by kind and name, each in the JSON form of declaration files.
using ObjectSet = std::map<ObjectName, JsonValue>;

/// What a proxy has in force.
struct ObjectsInForce
{
    std::uint64_t version = 0;
    ObjectSet objects;
};

/// Reads the lists "services", "upstreams" and "selectors". Fails with JsonMalformed.
Result<ObjectSet> tryReadObjectSet(const JsonValue &document);

/// The lists "services", "upstreams" and "selectors".
JsonValue::Object toDocument(const ObjectSet &objects);

/// Asks a proxy for the objects in force.
Result<ObjectsInForce> tryReadObjectsInForce(ControlPoint &control);

} // namespace Fuchsiastep::ControlTool
