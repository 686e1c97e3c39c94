/// The control plane of a daemon: actors for membership, configuration and the platform, which run on threads other
/// than the request path's.
#pragma once

#include "config/daemonsettings.h"
#include "config/objects.h"
#include "decision/configfreshness.h"
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
    using ProofHandler = std::function<void(const FreshnessProof &)>;
    using UpstreamsHandler = std::function<void(const std::vector<UpstreamInfo> &)>;
    /// Creates a client of the platform's store. Each client is used by one thread.
    using StoreOpener = std::function<std::unique_ptr<ObjectStore>()>;

    ControlPlane(asio::io_context &context, const DaemonSettings &settings, Incarnation incarnation,
                 StoreOpener openStore);
    ~ControlPlane() override;
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    void onView(ViewHandler handler);
    /// Called, on the request path's thread, for each crash that another daemon has reported.
    void onCrash(CrashHandler handler);
    /// Called, on the request path's thread, with younger proofs that the configuration in force is the newest; after
    /// the view with that configuration.
    void onProof(ProofHandler handler);
    /// Called, on the request path's thread, with the upstream states that an earlier process of this daemon stored.
    void onRestore(UpstreamsHandler handler);
    void start() override;
    void stop() override;

    // The following functions do not block: they send a message to an actor and return.

    void receiveGossip(std::shared_ptr<const wire::GossipT> message);
    void setUpstreams(std::vector<UpstreamInfo> upstreams);
    /// Stores the last announced states of upstreams that are leaving.
    /// @param done called on the request path's thread once they are stored; not called if storing fails or a newer
    /// record replaces this one
    void recordUpstreams(std::vector<UpstreamInfo> upstreams, const std::function<void()> &done);
    void leave();
    /// Reports to all daemons that the request with this fingerprint was running when an upstream crashed.
    void reportCrash(std::uint64_t fingerprint);
    /// Requests a director's approval of a refusal. A request under an id that is already stored is dropped, which
    /// limits the requests to one at a time per service and class of work.
    void requestRefusal(const RefusalObject &refusal);

private:
    struct Actors;
    std::unique_ptr<Actors> m_actors;
};

} // namespace mustardpond
