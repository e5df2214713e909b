#include <LibProxy/PlatformCalls.h>

#include <utility>

namespace Fuchsiastep {

void sendPlatformCall(PlatformClient &platform, PlatformCall call, std::function<void(PlatformReply reply)> onReply)
{
    platform.send(std::move(call.request), [id = call.id, onReply = std::move(onReply)](PlatformResponse response) {
        onReply(PlatformReply {id, std::move(response)});
    });
}

} // namespace Fuchsiastep
