#include "base/job.h"

#include <xxhash.h>

#include <memory>

namespace Bluebellquay {

namespace {

struct StateDeleter
{
    void operator()(XXH3_state_t *state) const { XXH3_freeState(state); }
};

class DigestBuilder
{
public:
    DigestBuilder()
        : m_state(XXH3_createState())
    {
        XXH3_128bits_reset(m_state.get());
    }

    void add(std::uint64_t value) { XXH3_128bits_update(m_state.get(), &value, sizeof value); }

    // The length goes first, so that adjacent strings can't be shifted into each other.
    void add(const std::string &text)
    {
        add(static_cast<std::uint64_t>(text.size()));
        XXH3_128bits_update(m_state.get(), text.data(), text.size());
    }

    JobDigest digest() const
    {
        const XXH128_hash_t hash = XXH3_128bits_digest(m_state.get());
        return {hash.high64, hash.low64};
    }

private:
    std::unique_ptr<XXH3_state_t, StateDeleter> m_state;
};

} // namespace

JobDigest digestOf(const Job &job)
{
    DigestBuilder builder;
    builder.add(job.branch);
    builder.add(job.customer);
    builder.add(job.team);
    builder.add(job.kind);
    builder.add(job.need.milliProcessors);
    builder.add(job.need.memoryBytes);
    builder.add(job.need.accelerators);
    builder.add(job.urgentRequested ? 1U : 0U);
    builder.add(job.reference);
    builder.add(static_cast<std::uint64_t>(job.tasks.size()));
    for (const TaskSpec &task : job.tasks) {
        builder.add(task.payload);
        builder.add(static_cast<std::uint64_t>(task.declaredRunTime.count()));
    }
    return builder.digest();
}

} // namespace Bluebellquay
