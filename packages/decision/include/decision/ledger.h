/// Record of the operations that a gate has opened. It decides whether an operation may run.
#pragma once

#include "decision/operationid.h"
#include "foundation/clock.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace mustardpond {

/// Answer of an upstream, stored to answer resends.
struct RecordedAnswer {
    std::uint16_t status = 0;
    std::string headers; ///< encoded by the owner of the ledger
    std::string body;
};

/// Request to which an operation is bound. A resend must match it.
struct OperationBinding {
    std::string service;
    std::string organisation;
    std::uint64_t requestDigest = 0; ///< over method, target and body
};

enum class OperationState : std::uint8_t {
    Open, ///< opened, not dispatched
    Running, ///< dispatched, no answer yet
    Ran, ///< answered
    Lost, ///< dispatched, and the answer can no longer arrive
    Closed, ///< declared not run; may never run
};

enum class OperationAdmission : std::uint8_t {
    Run, ///< the caller of begin() now owns the only run
    AlreadyRunning,
    AlreadyRan,
    Lost,
    Closed,
    Mismatch,
    Foreign, ///< opened by another incarnation, expired, or never opened
};

struct LedgerLimits {
    std::size_t operations = 100000;
    Millis lifetime{600000};
};

/// Not thread-safe. All times come from one monotonic clock.
class Ledger
{
public:
    Ledger(Incarnation gate, LedgerLimits limits);

    /// Opens an operation. Returns std::nullopt when the ledger is full.
    std::optional<OperationId> open(const std::string &service, const std::string &organisation, Millis now);

    /// Starts the run of an operation if it is admitted. Must be called before the first byte is written to an
    /// upstream.
    OperationAdmission begin(const OperationId &id, const OperationBinding &binding, Millis now);

    /// Returns what begin() would return, without starting the run.
    OperationAdmission check(const OperationId &id, const OperationBinding &binding, Millis now);

    /// Records the answer of the run.
    void finish(const OperationId &id, RecordedAnswer answer);
    /// Records that the answer of the run can no longer arrive.
    void markAnswerLost(const OperationId &id);
    /// Reverts begin() when no byte of the request was written to an upstream.
    void cancelStart(const OperationId &id);

    /// Closes an operation that has not begun, and returns its state afterwards. Only Closed means "not run".
    /// Returns std::nullopt when the operation is foreign or belongs to another organisation.
    std::optional<OperationState> close(const OperationId &id, const std::string &organisation, Millis now);

    /// Returns the recorded answer, or null unless the state is Ran.
    std::shared_ptr<const RecordedAnswer> answer(const OperationId &id) const;

    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct Entry {
        OperationState state = OperationState::Open;
        std::string service;
        std::string organisation;
        std::optional<std::uint64_t> requestDigest;
        std::shared_ptr<const RecordedAnswer> answer;
    };
    struct Expiry {
        std::uint64_t number;
        Millis at;
    };

    Entry *find(const OperationId &id);
    void expire(Millis now);

    Incarnation m_gate;
    LedgerLimits m_limits;
    std::uint64_t m_nextNumber = 1;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::deque<Expiry> m_expiries;
};

} // namespace mustardpond
