#include "adapters/fleet/FleetDocuments.h"

#include <Poco/JSON/Array.h>

#include <array>

namespace teaselfold::Internal {

namespace {

    using Poco::JSON::Array;
    using Poco::JSON::Object;

    const std::array<std::string, priorityClassCount> priorityClassNames { "interactive", "standard", "batch" };

    std::string formatDuration(Milliseconds duration) { return std::to_string(duration.count()) + "ms"; }

    void readTarget(DocumentReader& reader, LatencyTarget& target)
    {
        target.firstToken = reader.duration("first_token", target.firstToken);
        target.betweenTokens = reader.duration("between_tokens", target.betweenTokens);
        reader.reportUnexpectedKeys();
    }

    void readTargets(DocumentReader& reader, std::vector<LatencyTarget>& targets)
    {
        for (std::size_t i = 0; i < priorityClassNames.size(); ++i) {
            if (std::optional<DocumentReader> child = reader.child(priorityClassNames[i]))
                readTarget(*child, targets[i]);
        }
        reader.reportUnexpectedKeys();
    }

    void readPolicy(DocumentReader& reader, ServicePolicy& policy)
    {
        policy.routing = reader.text("routing", policy.routing);
        policy.admission = reader.text("admission", policy.admission);
        policy.fixedSlots = reader.number32("fixed_slots", policy.fixedSlots);
        policy.overflowPercent = reader.number32("overflow_percent", policy.overflowPercent);
        reader.reportUnexpectedKeys();
    }

    Object::Ptr writePolicy(const ServicePolicy& policy)
    {
        Object::Ptr json(new Object);
        json->set("routing", policy.routing);
        json->set("admission", policy.admission);
        json->set("fixed_slots", policy.fixedSlots);
        json->set("overflow_percent", policy.overflowPercent);
        return json;
    }

    Object::Ptr writeTargets(const std::vector<LatencyTarget>& targets)
    {
        Object::Ptr json(new Object);
        for (std::size_t i = 0; i < priorityClassNames.size() && i < targets.size(); ++i) {
            Object::Ptr target(new Object);
            target->set("first_token", formatDuration(targets[i].firstToken));
            target->set("between_tokens", formatDuration(targets[i].betweenTokens));
            json->set(priorityClassNames[i], target);
        }
        return json;
    }

    Array::Ptr writeNonRepeatable(const std::vector<NonRepeatable>& rules)
    {
        Array::Ptr list(new Array);
        for (const NonRepeatable& rule : rules) {
            Object::Ptr json(new Object);
            json->set("method", rule.method);
            json->set("path_prefix", rule.pathPrefix);
            list->add(json);
        }
        return list;
    }

}

void readObject(DocumentReader& reader, Zone& zone)
{
    zone.id = ZoneId(reader.text("id"));
    zone.region = reader.text("region", "");
    reader.reportUnexpectedKeys();
}

void readObject(DocumentReader& reader, Service& service)
{
    service.id = ServiceId(reader.text("id"));
    service.kind = static_cast<ServiceKind>(reader.choice("kind", 0, { "model", "plain" }));
    for (DocumentReader& item : reader.items("non_repeatable")) {
        NonRepeatable rule;
        rule.method = item.text("method");
        rule.pathPrefix = item.text("path_prefix");
        item.reportUnexpectedKeys();
        service.nonRepeatable.push_back(rule);
    }
    if (std::optional<DocumentReader> targets = reader.child("targets"))
        readTargets(*targets, service.targets);
    if (std::optional<DocumentReader> policy = reader.child("policy"))
        readPolicy(*policy, service.policy);
    service.bulkhead = reader.number32("bulkhead", service.bulkhead);
    reader.reportUnexpectedKeys();
}

void readObject(DocumentReader& reader, Model& model)
{
    model.id = ModelId(reader.text("id"));
    model.service = ServiceId(reader.text("service"));
    model.version = reader.text("version", "");
    model.adapters = reader.texts("adapters");
    reader.reportUnexpectedKeys();
}

void readObject(DocumentReader& reader, Endpoint& endpoint)
{
    endpoint.id = EndpointId(reader.text("id"));
    endpoint.zone = ZoneId(reader.text("zone"));
    endpoint.service = ServiceId(reader.text("service"));
    endpoint.agent = reader.address("agent");
    endpoint.checksFencing = reader.flag("checks_fencing", endpoint.checksFencing);
    reader.reportUnexpectedKeys();
}

void readObject(DocumentReader& reader, Team& team)
{
    team.id = TeamId(reader.text("id"));
    team.weight = reader.number32("weight", team.weight);
    team.maxInProgress = reader.number32("max_in_progress", team.maxInProgress);
    team.tokenHash = reader.text("token_hash", "");
    reader.reportUnexpectedKeys();
}

Object::Ptr writeObject(const Zone& zone)
{
    Object::Ptr json(new Object);
    json->set("id", zone.id.get());
    json->set("region", zone.region);
    return json;
}

Object::Ptr writeObject(const Service& service)
{
    Object::Ptr json(new Object);
    json->set("id", service.id.get());
    json->set("kind", service.kind == ServiceKind::Model ? "model" : "plain");
    json->set("non_repeatable", writeNonRepeatable(service.nonRepeatable));
    json->set("targets", writeTargets(service.targets));
    json->set("policy", writePolicy(service.policy));
    json->set("bulkhead", service.bulkhead);
    return json;
}

Object::Ptr writeObject(const Model& model)
{
    Array::Ptr adapters(new Array);
    for (const std::string& adapter : model.adapters)
        adapters->add(adapter);
    Object::Ptr json(new Object);
    json->set("id", model.id.get());
    json->set("service", model.service.get());
    json->set("version", model.version);
    json->set("adapters", adapters);
    return json;
}

Object::Ptr writeObject(const Endpoint& endpoint)
{
    Object::Ptr json(new Object);
    json->set("id", endpoint.id.get());
    json->set("zone", endpoint.zone.get());
    json->set("service", endpoint.service.get());
    json->set("agent", formatAddress(endpoint.agent));
    json->set("checks_fencing", endpoint.checksFencing);
    return json;
}

Object::Ptr writeObject(const Team& team)
{
    Object::Ptr json(new Object);
    json->set("id", team.id.get());
    json->set("weight", team.weight);
    json->set("max_in_progress", team.maxInProgress);
    json->set("token_hash", team.tokenHash);
    return json;
}

}
