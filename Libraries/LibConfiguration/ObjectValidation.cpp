#include <LibConfiguration/ObjectValidation.h>

#include <algorithm>
#include <chrono>

namespace Fuchsiastep {

static constexpr std::size_t MaximumNameLength = 63;
static constexpr std::size_t MaximumLabels = 64;
static constexpr std::size_t MaximumLabelValueLength = 255;
static constexpr std::size_t MaximumMethods = 16;
static constexpr std::size_t MaximumMethodLength = 16;
static constexpr std::size_t MaximumPathPrefixLength = 1024;
static constexpr std::size_t MaximumHostLength = 255;

// The standard functions depend on the locale.
static bool isLowerOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

static bool isPrintable(char character)
{
    const auto code = static_cast<unsigned char>(character);
    return code >= 0x20 && code != 0x7f;
}

bool isValidName(std::string_view name)
{
    return !name.empty() && name.size() <= MaximumNameLength && isLowerOrDigit(name.front())
        && std::all_of(name.begin(), name.end(), [](char c) { return isLowerOrDigit(c) || c == '.' || c == '-'; });
}

namespace {

/// Collects the problems of one object.
class ObjectChecker
{
public:
    void check(const ServiceDeclaration &service)
    {
        checkName("name", service.name);
        checkLabels("labels", service.labels);
    }
    void check(const UpstreamLabels &upstream)
    {
        checkName("id", upstream.upstreamId);
        checkName("service", upstream.service);
        checkLabels("labels", upstream.labels);
    }
    void check(const Selector &selector)
    {
        checkName("name", selector.name);
        checkLabels("callers", selector.callers);
        checkName("service", selector.service);
        checkLabels("upstreams", selector.upstreams);
        checkMethods("methods", selector.methods);
        checkPathPrefix(selector.pathPrefix);
        if (selector.precedence < -MaximumPrecedence || selector.precedence > MaximumPrecedence) {
            report("precedence", rangeText(-MaximumPrecedence, MaximumPrecedence));
        }
        checkHost(selector);
        if (selector.weight > MaximumWeight) {
            report("weight", rangeText(0, MaximumWeight));
        }
        check(selector.rules);
    }

    void check(const Workspace &workspace)
    {
        checkName("name", workspace.name);
        constexpr std::uint64_t Thousand = 1000;
        if (workspace.milliRequestsPerSecond > MaximumRequestRate * Thousand) {
            report("rate_per_second", rangeText(0, MaximumRequestRate));
        }
        if (workspace.burst > static_cast<std::uint64_t>(MaximumRequestRate)) {
            report("burst", rangeText(0, MaximumRequestRate));
        }
        if (std::adjacent_find(workspace.keys.begin(), workspace.keys.end()) != workspace.keys.end()) {
            report("keys", "must not list a key twice");
        }
    }

    std::vector<FieldProblem> take()
    {
        return std::move(m_problems);
    }

private:
    void check(const RouteRules &rules)
    {
        using Milliseconds = std::chrono::milliseconds;
        if (rules.timeout < Milliseconds(MinimumTimeoutMs) || rules.timeout > Milliseconds(MaximumTimeoutMs)) {
            report("rules.timeout_ms", rangeText(MinimumTimeoutMs, MaximumTimeoutMs));
        }
        checkMethods("rules.repeatable_methods", rules.repeatableMethods);
        if (rules.maximumRetries > MaximumRetryCount) {
            report("rules.retries", rangeText(0, MaximumRetryCount));
        }
        if (rules.targetLatency < Milliseconds(0) || rules.targetLatency > Milliseconds(MaximumTimeoutMs)) {
            report("rules.target_ms", rangeText(0, MaximumTimeoutMs));
        }
    }

    void checkName(std::string_view path, std::string_view name)
    {
        if (!isValidName(name)) {
            report(path, "must be 1 to 63 characters of a-z, 0-9, '.' and '-' that begin with a letter or digit");
        }
    }

    void checkLabels(std::string_view path, const Labels &labels)
    {
        if (labels.size() > MaximumLabels) {
            report(path, "must have at most " + std::to_string(MaximumLabels) + " labels");
        }
        for (const auto &[name, value] : labels) {
            const std::string labelPath = std::string(path) + '.' + name;
            checkName(labelPath, name);
            if (value.size() > MaximumLabelValueLength || !std::all_of(value.begin(), value.end(), isPrintable)) {
                report(labelPath, "must be at most " + std::to_string(MaximumLabelValueLength) + " printable characters");
            }
        }
    }

    void checkMethods(std::string_view path, const std::vector<std::string> &methods)
    {
        if (methods.size() > MaximumMethods) {
            report(path, "must have at most " + std::to_string(MaximumMethods) + " methods");
        }
        for (std::size_t i = 0; i < methods.size(); ++i) {
            const std::string &method = methods[i];
            const bool isUpper = std::all_of(method.begin(), method.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
            if (method.empty() || method.size() > MaximumMethodLength || !isUpper) {
                report(std::string(path) + '[' + std::to_string(i) + ']', "must be an upper-case HTTP method");
            }
        }
    }

    void checkHost(const Selector &selector)
    {
        const std::string &host = selector.host;
        const bool isValid = std::all_of(host.begin(), host.end(), [](char c) { return isPrintable(c) && c != ' ' && c != '/'; });
        if (!isValid || host.size() > MaximumHostLength) {
            report("host", "must be at most 255 printable characters without spaces and slashes");
        }
        if (!host.empty() && !selector.pathPrefix.ends_with('/')) {
            report("path_prefix", "must end with '/' where a host is given");
        }
    }

    void checkPathPrefix(const std::string &prefix)
    {
        const bool hasOnlyPathCharacters = std::all_of(prefix.begin(), prefix.end(), [](char c) { return isPrintable(c) && c != ' '; });
        if (!prefix.starts_with('/') || prefix.size() > MaximumPathPrefixLength || !hasOnlyPathCharacters) {
            report("path_prefix", "must begin with '/' and have at most 1024 characters without spaces");
        }
    }

    static std::string rangeText(std::int64_t minimum, std::int64_t maximum)
    {
        return "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    }

    void report(std::string_view path, std::string text)
    {
        m_problems.push_back({std::string(path), std::move(text)});
    }

    std::vector<FieldProblem> m_problems;
};

} // namespace

std::vector<FieldProblem> problemsOf(const DeclaredObject &object)
{
    ObjectChecker checker;
    std::visit([&](const auto &value) { checker.check(value); }, object);
    return checker.take();
}

Result<Done> tryValidateObject(const DeclaredObject &object)
{
    const std::vector<FieldProblem> problems = problemsOf(object);
    if (problems.empty()) {
        return Done {};
    }
    const FieldProblem &first = problems.front();
    return Error {ErrorCode::DeclarationMalformed, nameOf(object).toString() + ": " + first.path + ": " + first.text};
}

} // namespace Fuchsiastep
