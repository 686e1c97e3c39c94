/// Counts bytes against the byte budget for the lifetime of a scope.
#pragma once

#include "decision/bytebudget.h"

namespace mustardpond {

/// For bytes of a request that has been admitted, which are counted without asking.
class ByteCharge
{
public:
    /// @param budget null to count nothing; must outlive the charge
    explicit ByteCharge(ByteBudget *budget)
        : m_budget(budget)
        , m_holder(budget ? budget->open(Millis()) : 0)
    {
    }
    ~ByteCharge()
    {
        if (m_budget) {
            m_budget->close(m_holder);
        }
    }
    ByteCharge(const ByteCharge &) = delete;
    ByteCharge &operator=(const ByteCharge &) = delete;

    void add(std::size_t bytes)
    {
        if (m_budget) {
            m_budget->charge(m_holder, bytes);
        }
    }

private:
    ByteBudget *m_budget;
    ByteBudget::Holder m_holder;
};

} // namespace mustardpond
