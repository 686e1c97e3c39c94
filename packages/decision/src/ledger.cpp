#include "decision/ledger.h"

namespace mustardpond {

namespace {

OperationAdmission admissionOf(OperationState state)
{
    switch (state) {
    case OperationState::Open:
        return OperationAdmission::Run;
    case OperationState::Running:
        return OperationAdmission::AlreadyRunning;
    case OperationState::Ran:
        return OperationAdmission::AlreadyRan;
    case OperationState::Lost:
        return OperationAdmission::Lost;
    case OperationState::Closed:
        return OperationAdmission::Closed;
    }
    return OperationAdmission::Foreign;
}

} // namespace

Ledger::Ledger(Incarnation gate, LedgerLimits limits)
    : m_gate(gate)
    , m_limits(limits)
{
}

std::optional<OperationId> Ledger::open(const std::string &service, const std::string &organisation, Millis now)
{
    expire(now);
    if (m_entries.size() >= m_limits.operations) {
        return std::nullopt;
    }
    const std::uint64_t number = m_nextNumber++;
    Entry entry;
    entry.service = service;
    entry.organisation = organisation;
    m_entries.emplace(number, std::move(entry));
    m_expiries.push_back({number, now + m_limits.lifetime});
    return OperationId{m_gate, number};
}

OperationAdmission Ledger::check(const OperationId &id, const OperationBinding &binding, Millis now)
{
    expire(now);
    const Entry *entry = find(id);
    if (!entry) {
        return OperationAdmission::Foreign;
    }
    const bool sameOwner = entry->service == binding.service && entry->organisation == binding.organisation;
    const bool sameRequest = !entry->requestDigest || *entry->requestDigest == binding.requestDigest;
    if (!sameOwner || !sameRequest) {
        return OperationAdmission::Mismatch;
    }
    return admissionOf(entry->state);
}

OperationAdmission Ledger::begin(const OperationId &id, const OperationBinding &binding, Millis now)
{
    const OperationAdmission admission = check(id, binding, now);
    if (admission != OperationAdmission::Run) {
        return admission;
    }
    Entry *entry = find(id);
    entry->state = OperationState::Running;
    entry->requestDigest = binding.requestDigest;
    return OperationAdmission::Run;
}

void Ledger::finish(const OperationId &id, RecordedAnswer answer)
{
    Entry *entry = find(id);
    if (!entry || entry->state != OperationState::Running) {
        return;
    }
    entry->state = OperationState::Ran;
    entry->answer = std::make_shared<const RecordedAnswer>(std::move(answer));
}

void Ledger::markAnswerLost(const OperationId &id)
{
    Entry *entry = find(id);
    if (entry && entry->state == OperationState::Running) {
        entry->state = OperationState::Lost;
    }
}

void Ledger::cancelStart(const OperationId &id)
{
    Entry *entry = find(id);
    if (entry && entry->state == OperationState::Running) {
        entry->state = OperationState::Open;
    }
}

std::optional<OperationState> Ledger::close(const OperationId &id, const std::string &organisation, Millis now)
{
    expire(now);
    Entry *entry = find(id);
    if (!entry || entry->organisation != organisation) {
        return std::nullopt;
    }
    if (entry->state == OperationState::Open) {
        entry->state = OperationState::Closed;
    }
    return entry->state;
}

std::shared_ptr<const RecordedAnswer> Ledger::answer(const OperationId &id) const
{
    if (id.gate != m_gate) {
        return nullptr;
    }
    const auto found = m_entries.find(id.number);
    return found == m_entries.end() ? nullptr : found->second.answer;
}

Ledger::Entry *Ledger::find(const OperationId &id)
{
    if (id.gate != m_gate) {
        return nullptr;
    }
    const auto found = m_entries.find(id.number);
    return found == m_entries.end() ? nullptr : &found->second;
}

void Ledger::expire(Millis now)
{
    while (!m_expiries.empty() && m_expiries.front().at <= now) {
        m_entries.erase(m_expiries.front().number);
        m_expiries.pop_front();
    }
}

} // namespace mustardpond
