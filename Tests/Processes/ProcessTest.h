#pragma once

#include <LibCore/Random.h>
#include <LibLab/LibLab.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <string>

namespace Fuchsiastep {

/// The seed of this run: FUCHSIASTEP_SEED, or one drawn by the operating system.
inline std::uint64_t testSeed()
{
    static const std::uint64_t Seed = [] {
        const char *text = std::getenv("FUCHSIASTEP_SEED"); // NOLINT(concurrency-mt-unsafe): nothing changes the environment.
        return text != nullptr ? std::strtoull(text, nullptr, 10) : Random::fromSystem().next() >> 33U;
    }();
    return Seed;
}

inline std::string withSeed(const std::string &text)
{
    return text + " (FUCHSIASTEP_SEED=" + std::to_string(testSeed()) + ")";
}

/// Two data centres with one service.
inline DeploymentPlan testPlan(std::uint32_t upstreams, std::uint32_t serviceTimeMs = 2)
{
    DeploymentPlan plan;
    plan.name = "test";
    plan.region = "munster";
    plan.dataCentres = {"tivoli", "mallow"};
    ServicePlan service;
    service.name = "order-desk";
    service.upstreams = upstreams;
    service.serviceTimeMs = serviceTimeMs;
    plan.services = {service};
    plan.distribution = {{"batch_ms", 20}};
    return plan;
}

/// Programs of this build. Proxies beyond the upstreams have none.
inline FleetOptions testOptions(std::size_t proxies)
{
    return {FUCHSIASTEP_BINARY_DIR "/bin", proxies, true, false, testSeed()};
}

inline void requireDone(const Result<Done> &done)
{
    CPPUNIT_ASSERT_MESSAGE(withSeed(isError(done) ? describe(errorOf(done)) : ""), !isError(done));
}

inline std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += '\n' + line;
    }
    return text;
}

} // namespace Fuchsiastep
