#pragma once

#include <LibCore/Error.h>

#include <utility>
#include <variant>

namespace Fuchsiastep {

/// The value of a fallible function, or its error. Fallible functions start with "try".
template<typename T>
using Result = std::variant<T, Error>;

/// The value of a fallible function that returns nothing on success.
using Done = std::monostate;

template<typename T>
bool isError(const Result<T> &result)
{
    return std::holds_alternative<Error>(result);
}

/// The error of a failed result. The caller has checked isError().
template<typename T>
const Error &errorOf(const Result<T> &result)
{
    return std::get<Error>(result);
}

/// The value of a successful result. The caller has checked isError().
template<typename T>
const T &valueOf(const Result<T> &result)
{
    return std::get<T>(result);
}

template<typename T>
T &&valueOf(Result<T> &&result)
{
    return std::get<T>(std::move(result));
}

/// Combines lambdas into one visitor for std::visit.
template<typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};

template<typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace Fuchsiastep
