// Callers of the chaos run: they submit requests and jobs with fixed seeds, give up on answers
// early, repeat submissions through other entries, at once and later, and keep what they were told.
#pragma once

#include "process/caller.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace Bluebellquay::Testing {

using ChaosClock = std::chrono::steady_clock;

// For messages: the same clock for faults and findings.
inline double chaosSeconds(ChaosClock::time_point time)
{
    return std::chrono::duration<double>(time.time_since_epoch()).count();
}

// One submission and the last answer that its caller was given.
struct ChaosSubmission
{
    std::string id;
    std::string label;
    std::size_t tasks = 0;
    // A single request whose kind is idempotent: up to maxAttempts starts are allowed.
    unsigned maxStarts = 1;
    ChaosClock::time_point submitted;
    ChaosClock::time_point answered;
    bluebellquay::v1::SubmissionResponse answer;
    // A final answer that contradicts an earlier one under the same id, or empty.
    std::string contradiction;
};

class ChaosWorkload
{
public:
    ChaosWorkload(std::vector<std::string> entries, std::uint64_t seed, unsigned callers);
    ~ChaosWorkload();

    // Ends after the submissions in progress; each caller repeats its last one for a bounded time.
    void finish();
    // Valid after finish().
    const std::vector<ChaosSubmission> &submissions() const { return m_submissions; }

private:
    void runCaller(std::uint64_t seed, unsigned number);
    ChaosSubmission submitOne(Caller &caller, std::mt19937_64 &random, const std::string &label);
    void giveUpEarly(Caller &caller, std::mt19937_64 &random, const std::string &id,
                     const bluebellquay::v1::Job &job);
    void askAgain(Caller &caller, ChaosSubmission &submission, const bluebellquay::v1::Job &job);

    std::vector<std::string> m_entries;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    // Guarded by m_mutex until the threads have ended.
    std::vector<ChaosSubmission> m_submissions;
    std::vector<std::thread> m_threads;
};

} // namespace Bluebellquay::Testing
