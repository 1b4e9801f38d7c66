#pragma once

#include "ports/GatewayConfiguration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace teaselfold {

/** Index of the routes, services and teams of one configuration. */
class RouteTable {
public:
    explicit RouteTable(std::shared_ptr<const GatewayConfiguration> configuration);

    const std::shared_ptr<const GatewayConfiguration>& configuration() const { return this->current; }
    /** @return the route of the host with the longest prefix of the path, or null. */
    const GatewayRoute* findRoute(std::string_view host, std::string_view path) const;
    /** @return the team that owns the key, or null. */
    const GatewayTeam* findTeam(const std::string& key) const;
    /** @return the service, or null. */
    const GatewayService* findService(const ServiceId& service) const;
    /** @return the shortest event interval objective of the routes that use the service; zero if none states one. */
    Milliseconds eventIntervalObjective(const ServiceId& service) const;
    /**
     * Chooses a service of the route at random, with probability proportional to its weight.
     * @param random uniformly distributed bits.
     * @return the service, or null if none has a positive weight.
     */
    static const ServiceId* chooseService(const GatewayRoute& route, std::uint64_t random);

private:
    void addEventIntervalObjective(const GatewayRoute& route);

    std::shared_ptr<const GatewayConfiguration> current;
    /** Routes of each host, longest prefix first. */
    std::unordered_map<std::string, std::vector<const GatewayRoute*>> byHost;
    std::unordered_map<std::string, const GatewayTeam*> byKey;
    std::unordered_map<ServiceId, const GatewayService*> byService;
    std::unordered_map<ServiceId, Milliseconds> eventIntervalObjectives;
};

}
