#pragma once

#include "adapters/http/CallerContext.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>

namespace teaselfold {

/** Selects the handler of a request at the callers' port from a table of routes. */
class CallerHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit CallerHandlerFactory(CallerContext& context)
        : context(context)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& request) override;

private:
    CallerContext& context;
};

}
