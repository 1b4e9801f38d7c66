#include "core/gateway/RouteTable.h"

#include <algorithm>

namespace teaselfold {

RouteTable::RouteTable(std::shared_ptr<const GatewayConfiguration> configuration)
    : current(std::move(configuration))
{
    for (const GatewayRoute& route : this->current->routes) {
        this->byHost[route.host].push_back(&route);
        if (route.kind == RequestKind::Stream && route.eventIntervalObjective > Milliseconds(0))
            this->addEventIntervalObjective(route);
    }
    for (auto& [host, routes] : this->byHost) {
        std::stable_sort(routes.begin(), routes.end(),
            [](const auto* left, const auto* right) { return left->prefix.size() > right->prefix.size(); });
    }
    for (const GatewayService& service : this->current->services)
        this->byService[service.name] = &service;
    if (!this->current->teams)
        return;
    for (const GatewayTeam& team : *this->current->teams) {
        for (const std::string& key : team.keys)
            this->byKey[key] = &team;
    }
}

void RouteTable::addEventIntervalObjective(const GatewayRoute& route)
{
    for (const WeightedService& service : route.services) {
        const auto [entry, isNew]
            = this->eventIntervalObjectives.try_emplace(service.service, route.eventIntervalObjective);
        entry->second = std::min(entry->second, route.eventIntervalObjective);
    }
}

Milliseconds RouteTable::eventIntervalObjective(const ServiceId& service) const
{
    const auto found = this->eventIntervalObjectives.find(service);
    return found == this->eventIntervalObjectives.end() ? Milliseconds(0) : found->second;
}

const GatewayRoute* RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = this->byHost.find(std::string(host));
    if (routes == this->byHost.end())
        return nullptr;
    for (const GatewayRoute* route : routes->second) {
        if (path.substr(0, route->prefix.size()) == route->prefix)
            return route;
    }
    return nullptr;
}

const GatewayTeam* RouteTable::findTeam(const std::string& key) const
{
    const auto found = this->byKey.find(key);
    return found == this->byKey.end() ? nullptr : found->second;
}

const GatewayService* RouteTable::findService(const ServiceId& service) const
{
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? nullptr : found->second;
}

const ServiceId* RouteTable::chooseService(const GatewayRoute& route, std::uint64_t random)
{
    double total = 0;
    for (const WeightedService& candidate : route.services)
        total += candidate.weight;
    constexpr double randomRange = 18446744073709551616.0;
    double remaining = static_cast<double>(random) / randomRange * total;
    for (const WeightedService& candidate : route.services) {
        remaining -= candidate.weight;
        if (remaining < 0 && candidate.weight > 0)
            return &candidate.service;
    }
    const auto last = std::find_if(route.services.rbegin(), route.services.rend(),
        [](const WeightedService& candidate) { return candidate.weight > 0; });
    return last == route.services.rend() ? nullptr : &last->service;
}

}
