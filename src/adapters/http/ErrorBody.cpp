#include "adapters/http/ErrorBody.h"

#include <Poco/JSON/Object.h>

#include <sstream>

namespace teaselfold {

std::string encodeErrorBody(const Failure& failure)
{
    Poco::JSON::Object error(Poco::JSON_PRESERVE_KEY_ORDER);
    error.set("code", std::string(errorCodeName(failure.code)));
    error.set("message", failure.message);
    error.set("run", std::string(executedName(failure.run)));
    Poco::JSON::Object body;
    body.set("error", error);
    std::ostringstream out;
    body.stringify(out);
    return out.str();
}

std::string encodeRetryAfter(Milliseconds retryAfter)
{
    if (retryAfter.count() <= 0)
        return {};
    return std::to_string(std::chrono::ceil<Seconds>(retryAfter).count());
}

}
