/// The control side of a daemon: membership, configuration and the platform, as actors beside the request path.
#pragma once

#include "config/daemonsettings.h"
#include "config/objects.h"
#include "fleetview.h"
#include "net/net.h"
#include "wire/generated/frames_generated.h"

#include "foundation/kernel.h"

#include <functional>
#include <memory>
#include <vector>

namespace mustardpond {

class ControlPlane : public Service
{
public:
    /// Receives each new view, on the request path's thread.
    using ViewHandler = std::function<void(std::shared_ptr<const FleetView>)>;

    using CrashHandler = std::function<void(std::uint64_t fingerprint)>;
    using UpstreamsHandler = std::function<void(const std::vector<UpstreamInfo> &)>;
    /// Makes a client of the platform's store; each is used by one thread.
    using StoreOpener = std::function<std::unique_ptr<ObjectStore>()>;

    ControlPlane(asio::io_context &context, const DaemonSettings &settings, Incarnation incarnation,
                 StoreOpener openStore);
    ~ControlPlane() override;
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    void onView(ViewHandler handler);
    /// Called, on the request path's thread, for each crash that another daemon has seen.
    void onCrash(CrashHandler handler);
    /// Called, on the request path's thread, with what an earlier start of this daemon kept in the store.
    void onRestore(UpstreamsHandler handler);
    void start() override;
    void stop() override;

    /// All of these return at once.
    void receiveGossip(std::shared_ptr<const wire::GossipT> message);
    void setUpstreams(std::vector<UpstreamInfo> upstreams);
    /// Keeps in the store what leaving upstreams last said.
    /// @param done called on the request path's thread when the store has it; never if it stays out
    void recordUpstreams(std::vector<UpstreamInfo> upstreams, const std::function<void()> &done);
    void leave();
    /// Tells all daemons that a request was running when an upstream crashed.
    void reportCrash(std::uint64_t fingerprint);
    /// Asks for a director's approval of a refusal; one request at a time is kept per service and class.
    void requestRefusal(const RefusalObject &refusal);

private:
    struct Actors;
    std::unique_ptr<Actors> m_actors;
};

} // namespace mustardpond
