#pragma once

#include <LibLab/LibLab.h>

namespace Fuchsiastep {

/// Runs fuchsiaload to its end and returns its report in JSON. Fails with WaitTimeout or JsonMalformed.
Result<JsonValue> tryRunLoadGenerator(const std::string &programFolder, std::vector<std::string> arguments);

/// The number at the end of a path of members; 0 where there is none.
double numberAt(const JsonValue &value, std::initializer_list<const char *> path);

} // namespace Fuchsiastep
