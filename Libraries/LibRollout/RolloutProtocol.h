#pragma once

#include <LibCore/Result.h>
#include <LibPlatform/Row.h>
#include <LibRollout/RolloutController.h>

#include <functional>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// How operators order roll-outs and read their status. Functions, as in EdgeProtocol.
struct RolloutProtocol
{
    /// Rows with orders begin with this; empty where there are no orders.
    std::string orderPrefix;
    /// Key of the status row of a service begins with this.
    std::string statusPrefix;
    /// Fails with DeclarationMalformed.
    std::function<Result<RolloutOrder>(const Row &row)> tryReadOrder;
    /// The status in a row, where it is for \a order; nothing otherwise.
    std::function<std::optional<RolloutStatus>(const Row &row, const RolloutOrder &order)> readStatus;
    std::function<std::string(const RolloutOrder &order, RolloutStatus status)> formatStatus;
};

} // namespace Fuchsiastep
