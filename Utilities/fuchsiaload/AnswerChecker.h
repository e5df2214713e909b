#pragma once

#include "RequestResult.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace Fuchsiastep {

/// Finds answers that belong to another request, and orders that ran twice.
class AnswerChecker
{
public:
    /// Where \a isDirect, nothing stands between the repeated orders and the upstream, and both run.
    explicit AnswerChecker(bool isDirect) : m_isDirect(isDirect)
    { }

    /// What is wrong with \a result; nothing where it is right, or where the request was not answered with success.
    std::optional<std::string> problemOf(const RequestResult &result);

private:
    std::optional<std::string> problemOfRepeat(const RequestResult &result, const std::string &run);

    bool m_isDirect;
    /// Upstream and run of the repeated orders whose other answer is still due, by number.
    std::unordered_map<std::uint64_t, std::string> m_firstRuns;
};

} // namespace Fuchsiastep
