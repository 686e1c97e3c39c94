#include "controlplane.h"

#include "controlmessages.h"
#include "gossipsender.h"
#include "memberactor.h"
#include "storeactor.h"

namespace mustardpond {

namespace {

caf::actor_system_config &configure(caf::actor_system_config &config)
{
    // Work sharing blocks idle workers instead of polling; one worker is enough for control.
    config.set("scheduler.policy", caf::atom("sharing"));
    config.set("scheduler.max-threads", 1);
    return config;
}

} // namespace

struct ControlPlane::Actors {
    Actors(asio::io_context &io, const DaemonSettings &daemonSettings, Incarnation newIncarnation, StoreOpener opener)
        : context(io)
        , settings(daemonSettings)
        , incarnation(newIncarnation)
        , openStore(std::move(opener))
        , system(configure(config))
        , sender(std::make_shared<GossipSender>(io, daemonSettings.bindAddress))
    {
    }

    asio::io_context &context;
    DaemonSettings settings;
    Incarnation incarnation;
    StoreOpener openStore;
    caf::actor_system_config config;
    caf::actor_system system;
    std::shared_ptr<GossipSender> sender;
    ViewHandler onView;
    CrashHandler onCrash;
    ProofHandler onProof;
    RestoreHandler onRestore;
    std::uint64_t nextRecord = 0;
    caf::actor members;
    caf::actor store;
    caf::actor records;
};

ControlPlane::ControlPlane(asio::io_context &context, const DaemonSettings &settings, Incarnation incarnation,
                           StoreOpener openStore)
    : m_actors(std::make_unique<Actors>(context, settings, incarnation, std::move(openStore)))
{
}

ControlPlane::~ControlPlane()
{
    ControlPlane::stop();
}

void ControlPlane::onView(ViewHandler handler)
{
    m_actors->onView = std::move(handler);
}

void ControlPlane::onCrash(CrashHandler handler)
{
    m_actors->onCrash = std::move(handler);
}

void ControlPlane::onProof(ProofHandler handler)
{
    m_actors->onProof = std::move(handler);
}

void ControlPlane::onRestore(UpstreamsHandler handler)
{
    m_actors->onRestore = [actors = m_actors.get(), handler = std::move(handler)](const auto &upstreams) {
        asio::post(actors->context, [handler, upstreams] { handler(upstreams); });
    };
}

void ControlPlane::start()
{
    MemberActorOutput output;
    output.sendGossip = [actors = m_actors.get()](std::vector<OutgoingGossip> messages) {
        auto shared = std::make_shared<std::vector<OutgoingGossip>>(std::move(messages));
        asio::post(actors->context, [sender = actors->sender, shared] { sender->send(std::move(*shared)); });
    };
    output.publish = [actors = m_actors.get()](const std::shared_ptr<const FleetView> &view) {
        asio::post(actors->context, [handler = actors->onView, view] { handler(view); });
    };
    output.notifyCrash = [actors = m_actors.get()](std::uint64_t fingerprint) {
        asio::post(actors->context, [handler = actors->onCrash, fingerprint] { handler(fingerprint); });
    };
    output.notifyProof = [actors = m_actors.get()](const FreshnessProof &proof) {
        asio::post(actors->context, [handler = actors->onProof, proof] { handler(proof); });
    };
    output.removeRecord = [actors = m_actors.get()](const std::string &node, Incarnation incarnation) {
        caf::anon_send(actors->records, RemovalRequested{node, incarnation, 0});
    };
    m_actors->members = m_actors->system.spawn(memberActor, m_actors->settings, m_actors->incarnation, output);
    const StoreActorInput input{m_actors->settings, m_actors->incarnation, m_actors->openStore, m_actors->members,
                                m_actors->onRestore};
    m_actors->records = m_actors->system.spawn<caf::detached>(recordActor, input);
    m_actors->store = m_actors->system.spawn<caf::detached>(storeActor, input);
    caf::anon_send(m_actors->members, m_actors->store);
}

void ControlPlane::stop()
{
    if (!m_actors->members) {
        return;
    }
    caf::anon_send_exit(m_actors->members, caf::exit_reason::user_shutdown);
    caf::anon_send_exit(m_actors->store, caf::exit_reason::user_shutdown);
    caf::anon_send_exit(m_actors->records, caf::exit_reason::user_shutdown);
    m_actors->records = nullptr;
    m_actors->members = nullptr;
    m_actors->store = nullptr;
}

void ControlPlane::receiveGossip(std::shared_ptr<const wire::GossipT> message)
{
    caf::anon_send(m_actors->members, GossipReceived{std::move(message)});
}

void ControlPlane::setUpstreams(std::vector<UpstreamInfo> upstreams)
{
    caf::anon_send(m_actors->members, UpstreamsChanged{std::move(upstreams)});
}

void ControlPlane::recordUpstreams(std::vector<UpstreamInfo> upstreams, const std::function<void()> &done)
{
    RecordRequested request;
    request.upstreams = std::move(upstreams);
    request.number = ++m_actors->nextRecord;
    request.done = [actors = m_actors.get(), done] { asio::post(actors->context, done); };
    caf::anon_send(m_actors->records, request);
}

void ControlPlane::leave()
{
    caf::anon_send(m_actors->members, LeaveRequested{});
}

void ControlPlane::reportCrash(std::uint64_t fingerprint)
{
    caf::anon_send(m_actors->members, CrashReported{fingerprint});
}

void ControlPlane::requestRefusal(const RefusalObject &refusal)
{
    caf::anon_send(m_actors->store, RefusalRequested{refusal});
}

} // namespace mustardpond
