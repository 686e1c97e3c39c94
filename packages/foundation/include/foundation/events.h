/// Numbered log events. The catalogue for operators is docs/EVENTS.md; a test checks that both list the same events.
#pragma once

#include "foundation/enumtable.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace mustardpond {

enum class Event : std::uint16_t {
    Started = 100,
    Stopping = 101,
    Stopped = 102,
    SettingsInvalid = 103,
    UpstreamAnnounced = 200,
    UpstreamDraining = 201,
    UpstreamGone = 202,
    AnnouncementLate = 203,
    AnnouncementInvalid = 204,
    UpstreamEjected = 210,
    UpstreamReturned = 211,
    EjectionHeldByFloor = 212,
    SharedCause = 213,
    UpstreamTrustChanged = 214,
    RequestQuarantined = 220,
    ConnectionSilent = 230,
    MemberJoined = 300,
    MemberSuspected = 301,
    MemberDead = 302,
    MemberLeft = 303,
    ObjectApplied = 400,
    ObjectInvalid = 401,
    StoreUnreachable = 402,
    StoreReachable = 403,
    WatchChanged = 404,
    StoreReturned = 405,
    KeysRefused = 410,
    KeysAccepted = 411,
    RefusalRequested = 500,
    PeerRejected = 600,
    CallerRejected = 601,
    AnswerDiscarded = 602,
    AnswerForeign = 603,
    OrganisationLeftOut = 610,
    KeysLeftOut = 611,
    CallerUnauthenticated = 612,
    BodyRefused = 620,
    CallerEvicted = 621,
    BodyStalled = 622,
    ConnectionsFull = 623,
    RequestRefused = 700,
    RequestFailed = 701,
    RequestMoved = 702,
    RequestLate = 703,
    RequestLeft = 704,
    RequestAnswered = 705,
    RunsReported = 710,
    RunsRestored = 711,
    QuotaExceeded = 720,
    LenderUnreachable = 721,
    LenderSubstituted = 722,
    QuotaUnavailable = 723,
    SettingsReloaded = 104,
    ReadyChanged = 105,
    AddressBusy = 106,
};

constexpr EnumTable<Event, 55> EVENT_NAMES = {{
    {Event::Started, "started"},
    {Event::Stopping, "stopping"},
    {Event::Stopped, "stopped"},
    {Event::SettingsInvalid, "settings-invalid"},
    {Event::UpstreamAnnounced, "upstream-announced"},
    {Event::UpstreamDraining, "upstream-draining"},
    {Event::UpstreamGone, "upstream-gone"},
    {Event::UpstreamEjected, "upstream-ejected"},
    {Event::UpstreamReturned, "upstream-returned"},
    {Event::EjectionHeldByFloor, "ejection-held-by-floor"},
    {Event::SharedCause, "shared-cause"},
    {Event::UpstreamTrustChanged, "upstream-trust-changed"},
    {Event::RequestQuarantined, "request-quarantined"},
    {Event::ConnectionSilent, "connection-silent"},
    {Event::MemberJoined, "member-joined"},
    {Event::MemberSuspected, "member-suspected"},
    {Event::MemberDead, "member-dead"},
    {Event::MemberLeft, "member-left"},
    {Event::ObjectApplied, "object-applied"},
    {Event::ObjectInvalid, "object-invalid"},
    {Event::StoreUnreachable, "store-unreachable"},
    {Event::StoreReachable, "store-reachable"},
    {Event::WatchChanged, "watch-changed"},
    {Event::StoreReturned, "store-returned"},
    {Event::KeysRefused, "keys-refused"},
    {Event::KeysAccepted, "keys-accepted"},
    {Event::RefusalRequested, "refusal-requested"},
    {Event::PeerRejected, "peer-rejected"},
    {Event::CallerRejected, "caller-rejected"},
    {Event::AnswerDiscarded, "answer-discarded"},
    {Event::AnnouncementLate, "announcement-late"},
    {Event::AnnouncementInvalid, "announcement-invalid"},
    {Event::AnswerForeign, "answer-foreign"},
    {Event::OrganisationLeftOut, "organisation-left-out"},
    {Event::KeysLeftOut, "keys-left-out"},
    {Event::CallerUnauthenticated, "caller-unauthenticated"},
    {Event::BodyRefused, "body-refused"},
    {Event::CallerEvicted, "caller-evicted"},
    {Event::BodyStalled, "body-stalled"},
    {Event::ConnectionsFull, "connections-full"},
    {Event::RequestRefused, "request-refused"},
    {Event::RequestFailed, "request-failed"},
    {Event::RequestMoved, "request-moved"},
    {Event::RequestLate, "request-late"},
    {Event::RequestLeft, "request-left"},
    {Event::RequestAnswered, "request-answered"},
    {Event::RunsReported, "runs-reported"},
    {Event::RunsRestored, "runs-restored"},
    {Event::QuotaExceeded, "quota-exceeded"},
    {Event::LenderUnreachable, "lender-unreachable"},
    {Event::LenderSubstituted, "lender-substituted"},
    {Event::QuotaUnavailable, "quota-unavailable"},
    {Event::SettingsReloaded, "settings-reloaded"},
    {Event::ReadyChanged, "ready-changed"},
    {Event::AddressBusy, "address-busy"},
}};

enum class LogFormat { Text, Json };

constexpr EnumTable<LogFormat, 2> LOG_FORMAT_NAMES = {{{LogFormat::Text, "text"}, {LogFormat::Json, "json"}}};

/// Configures the process's logger. It writes to standard output, as text or as one JSON object per line, and never
/// blocks. Until this is called, events go to spdlog's default logger.
void openLog(LogFormat format, const std::string &node);

/// Waits until the queued lines are written, for 200 ms at most, as nobody may read standard output. Other threads may
/// log at the same time and afterwards.
void closeLog();

/// Logs an event with its fields, a JSON object. Events that an operator should look at are logged as warnings.
void logEvent(Event event, const nlohmann::json &fields);

} // namespace mustardpond
