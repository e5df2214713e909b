#include <LibProxy/OperatorMessages.h>

#include <LibProxy/SoupSupport.h>

namespace Fuchsiastep {

OperatorReply operatorFailure(const Error &error)
{
    return {errorCodeInfo(error.code).httpStatus, describeAsJson(error)};
}

} // namespace Fuchsiastep
