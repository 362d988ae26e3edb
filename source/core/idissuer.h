// Issues submission ids: chooses a home for each by the power of two choices (Mitzenmacher 1996)
// over the load that agents report, in the own data centre as long as it has a free slot.
#pragma once

#include "core/processdirectory.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace Bluebellquay {

// Supplies nonces that nobody can guess; an id is the capability to read its answer.
using NonceSource = std::function<Nonce()>;

class IdIssuer
{
public:
    // The seed is for the choice of homes only.
    IdIssuer(std::string dataCentre, std::string region, NonceSource nonces, std::uint64_t seed);

    // Returns nothing if no agent may issue ids.
    std::optional<SubmissionId> issue(ProcessDirectory &directory);

private:
    // Own data centre, own region, elsewhere.
    static constexpr std::size_t Tiers = 3;

    void rebuild(ProcessDirectory &directory);
    std::size_t tierOf(const ProcessInfo &process) const;
    KnownProcess *pickLessLoaded(std::size_t tier);
    std::uint64_t randomBelow(std::uint64_t bound);

    std::string m_dataCentre;
    std::string m_region;
    NonceSource m_nonces;
    std::mt19937_64 m_random;
    // Revision of the directory's serving agents that m_tiers was built from.
    std::uint64_t m_builtRevision = 0;
    std::array<std::vector<KnownProcess *>, Tiers> m_tiers;
};

} // namespace Bluebellquay
