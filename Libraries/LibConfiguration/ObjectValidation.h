#pragma once

#include <LibConfiguration/DeclaredObject.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

constexpr std::int64_t MinimumTimeoutMs = 1;
constexpr std::int64_t MaximumTimeoutMs = 60'000;
constexpr std::int64_t MaximumRetryCount = 5;
constexpr std::int64_t MaximumPrecedence = 1000;
constexpr std::int64_t MaximumWeight = 1'000'000;
/// Requests a second, and requests of a burst.
constexpr std::int64_t MaximumRequestRate = 1'000'000'000;

/// What is wrong with one field of a declared object.
struct FieldProblem
{
    /// Path from the object: "rules.timeout_ms".
    std::string path;
    std::string text;
};

/// True for 1 to 63 characters of a-z, 0-9, '.' and '-' that begin with a letter or digit.
bool isValidName(std::string_view name);

/// Every field that is outside its limits; empty where the object is valid by itself.
std::vector<FieldProblem> problemsOf(const DeclaredObject &object);

/// Fails with DeclarationMalformed, naming the object and its first invalid field.
Result<Done> tryValidateObject(const DeclaredObject &object);

} // namespace Fuchsiastep
