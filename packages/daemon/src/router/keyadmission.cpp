#include "keyadmission.h"

#include <fmt/format.h>

namespace mustardpond {

namespace {

constexpr Millis UNPROVED_RETRY_AFTER{1000};

} // namespace

bool KeyAdmission::accepts(bool organisations, Millis now) const
{
    if (!m_settings.strict || !organisations) {
        return true;
    }
    return m_proof && isProofValid(m_proof->at, now, m_settings.maxProofAge);
}

RouterAnswer KeyAdmission::refuse()
{
    ++m_refused;
    RouterAnswer answer;
    answer.detail = "this host cannot tell whether the key is still valid: try another host, or later";
    answer.retryAfter = UNPROVED_RETRY_AFTER;
    return answer;
}

std::string KeyAdmission::exposition(Millis now) const
{
    if (!m_settings.strict) {
        return {};
    }
    std::string text;
    if (m_proof) {
        text += fmt::format("# TYPE mustardpond_proof_age_ms gauge\nmustardpond_proof_age_ms {:.0f}\n",
                            (now - m_proof->at).value);
    }
    text += fmt::format("# TYPE mustardpond_unproved_requests_total counter\nmustardpond_unproved_requests_total {}\n",
                        m_refused);
    return text;
}

} // namespace mustardpond
