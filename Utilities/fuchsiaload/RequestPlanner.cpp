#include "RequestPlanner.h"

namespace Fuchsiastep {

RequestPlanner::RequestPlanner(const LoadSettings &settings, std::string runId)
    : m_settings(settings), m_runId(std::move(runId)), m_random(settings.seed)
{ }

std::vector<PlannedRequest> RequestPlanner::next()
{
    PlannedRequest request;
    request.kind = m_settings.mix.draw(m_random);
    request.number = m_number++;
    request.target = m_random.below(m_settings.targets.size());
    const std::string id = m_runId + '-' + std::to_string(request.number);
    switch (request.kind) {
    case RequestKind::Lookup:
        request.method = "GET";
        request.path = "/lookup/" + id;
        break;
    case RequestKind::Document:
        request.method = "GET";
        request.path = "/size/" + std::to_string(m_settings.documentBytes) + '/' + id;
        request.documentBytes = m_settings.documentBytes;
        break;
    case RequestKind::Order:
    case RequestKind::RepeatOrder:
        request.method = "POST";
        request.path = "/order/" + id;
        request.key = "key-" + id;
        request.body = R"({"order":")" + id + R"("})";
        break;
    }
    std::vector<PlannedRequest> requests {request};
    if (request.kind == RequestKind::RepeatOrder) {
        request.target = (request.target + 1) % m_settings.targets.size();
        requests.push_back(std::move(request));
    }
    return requests;
}

} // namespace Fuchsiastep
