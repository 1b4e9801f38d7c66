#include "support/LoadModel.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace teaselfold {

namespace {

    constexpr Milliseconds step(5);
    constexpr Milliseconds tick(50);
    constexpr Milliseconds usualInterval(30);
    constexpr Milliseconds noisePeriod(600);
    constexpr double noiseShare = 0.15;
    constexpr double noiseFactor = 2.5;
    constexpr std::uint64_t promptTokens = 2600;
    constexpr Milliseconds promptTime(370);
    constexpr Milliseconds callTime(60);
    constexpr std::uint32_t slotCount = 6;

    struct Work {
        std::size_t gateway { 0 };
        /** Of the simulation; negative for work in progress. */
        Instant arrivedAt;
        /** Time left at the usual speed of an average endpoint. */
        Duration left { 0 };
        bool isStarted { false };
    };

    struct ModelEndpoint {
        EndpointRecord record;
        /** Factor on the time of all work. */
        double slowness { 1 };
        double noise { 1 };
        std::deque<Work> work;
        Duration busy { 0 };
    };

    struct ModelGateway {
        GatewayLimits limits;
        EndpointDirectory directory { limits };
        PeerLoadTable peers;
        GossipComposer composer;
        Instant nextTick;

        ModelGateway(const GatewayId& id, Incarnation incarnation)
            : peers(limits, id)
            , composer(limits, id, incarnation)
        {
        }
    };

    class Simulation {
    public:
        explicit Simulation(const LoadModelParameters& parameters)
            : parameters(parameters)
            , randomness(parameters.seed)
        {
            this->service.name = ServiceId("service");
            if (parameters.isEngine)
                this->service.engine = EngineCapabilities { 30000, true, true, 4 };
            this->addEndpoints();
            this->addGateways();
        }

        LoadModelResult run()
        {
            for (; this->now < start + this->parameters.duration; this->now += step) {
                this->changeNoise();
                this->arrive();
                for (ModelEndpoint& endpoint : this->endpoints)
                    this->advance(endpoint);
                for (ModelGateway& gateway : this->gateways) {
                    if (gateway.nextTick <= this->now)
                        this->gossip(gateway);
                }
                this->observe();
            }
            return this->result();
        }

    private:
        static constexpr Instant start { Seconds(1000) };

        double uniform() { return static_cast<double>(this->randomness.next() >> 11) / 9007199254740992.0; }

        void addEndpoints()
        {
            constexpr double fastest = 0.6;
            constexpr double spread = 1.0;
            for (std::size_t index = 0; index < this->parameters.endpoints; ++index) {
                ModelEndpoint endpoint;
                endpoint.record.id = EndpointId("e" + std::to_string(index));
                endpoint.record.service = this->service.name;
                endpoint.record.zone = ZoneId("zone");
                endpoint.record.slots = this->parameters.isEngine ? 24 : slotCount;
                endpoint.slowness = fastest
                    + spread * static_cast<double>(index) / static_cast<double>(this->parameters.endpoints - 1);
                this->endpoints.push_back(std::move(endpoint));
            }
        }

        void addGateways()
        {
            std::vector<GatewayMember> members;
            std::vector<EndpointRecord> records;
            for (std::size_t index = 0; index < this->parameters.gateways; ++index)
                members.push_back({ GatewayId("g" + std::to_string(index)), {} });
            for (const ModelEndpoint& endpoint : this->endpoints)
                records.push_back(endpoint.record);
            for (std::size_t index = 0; index < members.size(); ++index) {
                ModelGateway& gateway = this->gateways.emplace_back(members[index].instance, Incarnation(index + 1));
                gateway.peers.setMembers(members);
                gateway.directory.replaceAll(records, std::nullopt, this->now);
                gateway.nextTick = this->now + tick * static_cast<int>(index) / static_cast<int>(members.size());
                // The pace of engines is known from earlier streams.
                for (const ModelEndpoint& endpoint : this->endpoints) {
                    for (int sample = 0; sample < 8 && this->parameters.isEngine; ++sample)
                        gateway.directory.recordEventInterval(endpoint.record.id,
                            std::chrono::duration_cast<Duration>(usualInterval * endpoint.slowness));
                }
            }
        }

        void changeNoise()
        {
            if ((this->now - start) % noisePeriod >= step)
                return;
            for (ModelEndpoint& endpoint : this->endpoints)
                endpoint.noise = this->uniform() < noiseShare ? noiseFactor : 1;
        }

        Duration meanWork() const { return this->parameters.isEngine ? promptTime : callTime; }

        void arrive()
        {
            double capacity = 0;
            for (const ModelEndpoint& endpoint : this->endpoints)
                capacity += (this->parameters.isEngine ? 1 : slotCount)
                    / (endpoint.slowness * (1 + noiseShare * (noiseFactor - 1)));
            // Twice the usual rate in one of four seconds.
            const bool isBurst = (this->now - start) / Seconds(1) % 4 == 0;
            const double shape = isBurst ? 1.6 : 0.8;
            const double expected = capacity * this->parameters.utilization * shape * (step / Duration(1))
                / static_cast<double>(this->meanWork().count());
            const double left = std::exp(-expected);
            double product = this->uniform();
            while (product > left) {
                this->send(this->randomness.next() % this->gateways.size());
                product *= this->uniform();
            }
        }

        GatewayEndpoint* choose(ModelGateway& gateway)
        {
            auto candidates = gateway.directory.candidates(this->service, this->gateways.size(), this->now);
            const std::size_t first = this->randomness.next() % candidates.size();
            const std::size_t second = this->randomness.next() % candidates.size();
            const auto known = [&](const GatewayEndpoint& endpoint) {
                return this->parameters.isEngine
                    ? static_cast<double>(endpoint.promptTokens + gateway.peers.peerLoad(endpoint.idHash).promptTokens)
                    : endpoint.inFlight + endpoint.externalLoad.requests(gateway.limits.maxLoadReportAge, this->now);
            };
            if (this->parameters.policy == ModelPolicy::Random)
                return candidates[first];
            if (this->parameters.policy == ModelPolicy::TwoChoices)
                return candidates[known(*candidates[first]) <= known(*candidates[second]) ? first : second];
            const PickContext context { ZoneId("zone"), this->now, this->parameters.isEngine ? promptTokens + 40 : 0,
                this->parameters.isEngine ? promptTokens : 0, this->parameters.isEngine ? 10U : 0, {},
                gateway.directory.slowdownShares(this->service.name), gateway.limits, gateway.peers, this->randomness };
            return pickerFor(this->service).pick(candidates, this->service, context);
        }

        void send(std::size_t index)
        {
            ModelGateway& gateway = this->gateways[index];
            const GatewayEndpoint* chosen = this->choose(gateway);
            const auto found = std::find_if(this->endpoints.begin(), this->endpoints.end(),
                [&](const ModelEndpoint& endpoint) { return endpoint.record.id == chosen->record.id; });
            const double share = this->parameters.isEngine ? 1 : -std::log(1 - this->uniform());
            found->work.push_back(
                { index, this->now, std::chrono::duration_cast<Duration>(this->meanWork() * share), false });
            if (this->parameters.isEngine)
                gateway.directory.addPendingPrompt(found->record.id, promptTokens);
            gateway.directory.beginExchange(
                found->record.id, this->parameters.isEngine ? promptTokens + 40 : 0, this->now);
            if (gateway.directory.takePromptNews())
                this->tellPrompts(gateway);
        }

        void advance(ModelEndpoint& endpoint)
        {
            const std::size_t servers = this->parameters.isEngine ? 1 : slotCount;
            const auto done = std::chrono::duration_cast<Duration>(step / (endpoint.slowness * endpoint.noise));
            const std::size_t started = std::min(servers, endpoint.work.size());
            endpoint.busy += step * static_cast<Duration::rep>(started);
            for (std::size_t position = 0; position < started; ++position) {
                Work& work = endpoint.work[position];
                if (!work.isStarted)
                    this->waits.push_back(std::chrono::duration_cast<Milliseconds>(this->now - work.arrivedAt));
                work.isStarted = true;
                work.left -= done;
            }
            for (std::size_t position = started; position-- > 0;) {
                if (endpoint.work[position].left <= Duration(0))
                    this->finish(endpoint, position);
            }
        }

        void finish(ModelEndpoint& endpoint, std::size_t position)
        {
            EndpointDirectory& directory = this->gateways[endpoint.work[position].gateway].directory;
            const auto running = static_cast<std::uint32_t>(endpoint.work.size());
            const ReportedLoad load { std::min(running, endpoint.record.slots),
                running - std::min(running, endpoint.record.slots), endpoint.record.slots, endpoint.noise };
            directory.recordLoad(endpoint.record.id, load, this->now);
            directory.endExchange(endpoint.record.id, this->parameters.isEngine ? promptTokens + 40 : 0);
            if (this->parameters.isEngine)
                directory.removePendingPrompt(endpoint.record.id, promptTokens);
            endpoint.work.erase(endpoint.work.begin() + static_cast<std::ptrdiff_t>(position));
        }

        void tellPrompts(ModelGateway& sender)
        {
            if (!sender.peers.dividesEngines())
                return this->gossip(sender);
            const auto prompts = sender.composer.newPrompts(sender.directory.usages());
            std::vector<ModelGateway*> receivers;
            for (ModelGateway& each : this->gateways) {
                const bool isConcerned = std::any_of(prompts.begin(), prompts.end(), [&](const EndpointUsage& usage) {
                    return each.peers.prefers(usage.endpoint, this->endpoints.size());
                });
                if (&each != &sender && isConcerned)
                    receivers.push_back(&each);
            }
            const GossipContent content { {}, {}, false, receivers.size() };
            const auto message = sender.composer.composePrompts(content, prompts, this->now);
            for (ModelGateway* receiver : receivers) {
                if (message)
                    receiver->peers.receive(*message, this->now);
            }
        }

        void gossip(ModelGateway& sender)
        {
            if (sender.nextTick <= this->now)
                sender.nextTick += tick;
            GossipContent content { sender.directory.usages(), {}, false, this->gateways.size() - 1 };
            content.conditions = sender.directory.conditions(this->now);
            const auto message = sender.composer.compose(content, this->now);
            for (ModelGateway& receiver : this->gateways) {
                if (!message || &receiver == &sender || !receiver.peers.receive(*message, this->now))
                    continue;
                receiver.directory.mergeConditions(message->conditions, this->now);
            }
        }

        void observe()
        {
            const std::size_t servers = this->parameters.isEngine ? 1 : slotCount;
            const auto isOverrun = [&](const ModelEndpoint& each) { return each.work.size() >= 2 * servers; };
            const auto isIdle = [](const ModelEndpoint& each) { return each.work.empty(); };
            ++this->observations;
            if (std::any_of(this->endpoints.begin(), this->endpoints.end(), isOverrun)
                && std::any_of(this->endpoints.begin(), this->endpoints.end(), isIdle))
                ++this->overruns;
        }

        LoadModelResult result()
        {
            Duration sum { 0 };
            Duration busiest { 0 };
            for (const ModelEndpoint& endpoint : this->endpoints) {
                sum += endpoint.busy;
                busiest = std::max(busiest, endpoint.busy);
            }
            std::sort(this->waits.begin(), this->waits.end());
            const auto total = std::accumulate(this->waits.begin(), this->waits.end(), Milliseconds(0));
            return { static_cast<double>(busiest.count()) * static_cast<double>(this->endpoints.size())
                    / static_cast<double>(sum.count()),
                this->overruns / this->observations, total / static_cast<Milliseconds::rep>(this->waits.size()),
                this->waits[this->waits.size() * 99 / 100] };
        }

        LoadModelParameters parameters;
        SeededRandomness randomness;
        GatewayService service;
        Instant now { start };
        std::vector<ModelEndpoint> endpoints;
        std::deque<ModelGateway> gateways;
        std::vector<Milliseconds> waits;
        double observations { 0 };
        double overruns { 0 };
    };

}

LoadModelResult runLoadModel(const LoadModelParameters& parameters) { return Simulation(parameters).run(); }

}
