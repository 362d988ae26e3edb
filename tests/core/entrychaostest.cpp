// Guards against crossed answers, false statements and calls that never end, over random
// interleavings of lost links, restarted and succeeded homes, late and repeated replies.
#include "entryfixture.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <set>

using namespace Bluebellquay;

namespace {

// Simulates homes that keep records, and links that lose the messages in transit when they break.
class RelaySite
{
public:
    explicit RelaySite(std::uint64_t seed)
        : m_random(seed)
        , m_entry(settings())
    {
        for (std::size_t i = 0; i < 4; ++i)
            m_homes.push_back(newHome());
    }

    void run()
    {
        for (int step = 0; step < 3'000; ++step)
            act();
        // Then every call has ended at the latest.
        m_entry.pass(Duration(20'000'000));
        for (const auto &[call, id] : m_calls)
            judge(call, id);
        CHECK(m_entry.core->openCalls() == 0);
    }
    std::size_t answered() const { return m_answered; }

private:
    struct Home
    {
        std::uint64_t incarnation = 0;
        bool linked = false;
        // Incarnations that this home answers for.
        std::set<std::uint64_t> answersFor;
        std::map<SubmissionId, Answer> records;
    };
    struct Letter
    {
        std::uint64_t home;
        Reply reply;
    };

    static EntryCoreSettings settings()
    {
        EntryCoreSettings settings;
        settings.maxCalls = 40;
        return settings;
    }

    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }

    Home newHome()
    {
        Home home;
        home.incarnation = ++m_lastIncarnation;
        home.answersFor = {home.incarnation};
        return home;
    }
    // Each run has its own incarnation; the name stays with the place in the list.
    void link(std::size_t index)
    {
        ProcessInfo info = EntryFixture::agent(m_homes[index].incarnation);
        info.name = "home-" + std::to_string(index);
        info.address = "127.0.0.1:" + std::to_string(index + 1);
        m_homes[index].linked = true;
        m_entry.link(info);
        takeMessages();
    }
    void unlink(std::size_t index)
    {
        Home &home = m_homes[index];
        home.linked = false;
        m_entry.unlink(home.incarnation);
        std::erase_if(m_letters, [&](const Letter &l) { return l.home == home.incarnation; });
    }

    void act()
    {
        const std::size_t index = below(m_homes.size());
        switch (below(16)) {
        case 0:
            return m_homes[index].linked ? unlink(index) : link(index);
        case 1:
            return below(6) == 0 ? restart(index) : void();
        case 2:
            return below(6) == 0 ? handOver(index, (index + 1) % m_homes.size()) : void();
        case 3:
            return callerLeaves();
        case 4:
            m_entry.pass(std::chrono::milliseconds(below(400)));
            return takeMessages();
        case 5:
        case 6:
        case 7:
            return call(index);
        default:
            return deliver();
        }
    }

    void restart(std::size_t index)
    {
        if (m_homes[index].linked)
            unlink(index);
        m_lost.insert(m_homes[index].answersFor.begin(), m_homes[index].answersFor.end());
        m_homes[index] = newHome();
    }
    void handOver(std::size_t from, std::size_t to)
    {
        Home &home = m_homes[from];
        if (!home.linked)
            return;
        m_homes[to].records.insert(home.records.begin(), home.records.end());
        m_homes[to].answersFor.insert(home.answersFor.begin(), home.answersFor.end());
        m_entry.beat(Incarnation(home.incarnation), AgentState::Gone);
        for (const std::uint64_t incarnation : home.answersFor) {
            const Succession step{Incarnation(incarnation), Incarnation(m_homes[to].incarnation)};
            m_entry.core->handle(m_entry.now, SuccessionNotice{step}, m_entry.out);
        }
        m_entry.collect();
        unlink(from);
        home = newHome();
        takeMessages();
    }

    void call(std::size_t index)
    {
        const bool known = !m_ids.empty() && below(2) == 0;
        const SubmissionId id =
            known ? m_ids[below(m_ids.size())] : m_entry.newId(m_homes[index].incarnation);
        m_ids.push_back(id);
        auto request = sampleSubmit(id);
        const Duration timeout = std::chrono::milliseconds(50 + below(3'000));
        m_calls[below(3) == 0 ? m_entry.await(id) : m_entry.submit(request, timeout)] = id;
        takeMessages();
    }
    void callerLeaves()
    {
        if (m_calls.empty())
            return;
        const auto position = std::next(m_calls.begin(), static_cast<long>(below(m_calls.size())));
        if (!m_entry.open(position->first))
            return;
        m_entry.core->callerLeft(position->first, m_entry.out);
        m_entry.collect();
        m_left.insert(position->first);
        takeMessages();
    }

    // What the entry has sent arrives at linked homes, which answer later.
    void takeMessages()
    {
        for (auto &[to, messages] : m_entry.sent) {
            for (Home &home : m_homes) {
                if (home.linked && Incarnation(home.incarnation) == to) {
                    for (const SharedMessage &message : messages)
                        receive(home, *message);
                }
            }
        }
        m_entry.sent.clear();
    }
    void receive(Home &home, const Message &message)
    {
        if (const auto *submit = std::get_if<Submit>(&message))
            answer(home, submit->correlation, submit->id,
                   EntryFixture::completed({label(submit->id)}));
        else if (const auto *await = std::get_if<Await>(&message))
            answer(home, await->correlation, await->id, std::nullopt);
        else if (const auto *refuse = std::get_if<Refuse>(&message))
            answer(home, refuse->correlation, refuse->id,
                   Answer{Outcome::NotRun, refuse->reason, {}, refuse->retryAfter, {}});
    }
    void answer(Home &home, Correlation correlation, const SubmissionId &id,
                const std::optional<Answer> &first)
    {
        Reply reply;
        reply.correlation = correlation;
        reply.id = id;
        auto record = home.records.find(id);
        if (!home.answersFor.contains(id.home().value())) {
            reply.kind = ReplyKind::WrongHome;
        } else if (record == home.records.end()
                   && (!first || id.home().value() != home.incarnation)) {
            reply.kind = ReplyKind::NotSeen;
        } else {
            if (record == home.records.end()) {
                record = home.records.emplace(id, *first).first;
                m_recorded[id] = *first;
            }
            reply.kind = ReplyKind::Final;
            reply.answer = record->second;
        }
        m_letters.push_back({home.incarnation, reply});
        if (below(10) == 0)
            m_letters.push_back({home.incarnation, reply});
    }
    void deliver()
    {
        if (m_letters.empty())
            return;
        const auto position = m_letters.begin() + static_cast<long>(below(m_letters.size()));
        const Letter letter = *position;
        if (below(8) != 0) // Otherwise the message is delivered a second time, later.
            m_letters.erase(position);
        m_entry.core->handle(Incarnation(letter.home), letter.reply, m_entry.out);
        m_entry.collect();
    }

    static std::string label(const SubmissionId &id) { return "answer of " + id.toString(); }

    void judge(CallId call, const SubmissionId &id)
    {
        if (m_left.contains(call)) {
            CHECK(m_entry.open(call));
            return;
        }
        CHECK_FALSE(m_entry.open(call));
        const auto answer = m_entry.answer(call);
        if (!answer)
            return;
        if (answer->outcome == Outcome::Unknown) {
            // Only a home whose memory is lost may be called gone.
            if (answer->reason == Reason::HomeGone)
                CHECK(m_lost.contains(id.home().value()));
            return;
        }
        ++m_answered;
        REQUIRE(m_recorded.contains(id));
        CHECK(*answer == m_recorded.at(id));
    }

    std::mt19937_64 m_random;
    EntryFixture m_entry;
    std::vector<Home> m_homes;
    std::uint64_t m_lastIncarnation = 100;
    std::vector<Letter> m_letters;
    std::vector<SubmissionId> m_ids;
    std::map<CallId, SubmissionId> m_calls;
    std::set<CallId> m_left;
    // Incarnations whose records nobody has any more.
    std::set<std::uint64_t> m_lost;
    // The one final answer of each submission.
    std::map<SubmissionId, Answer> m_recorded;
    std::size_t m_answered = 0;
};

} // namespace

TEST_CASE("Each caller is told the truth about its own submission", "[entry]")
{
    const char *text = std::getenv("BLUEBELLQUAY_SEED");
    const std::uint64_t first = text == nullptr ? 20261204 : std::strtoull(text, nullptr, 0);
    std::cout << "BLUEBELLQUAY_SEED=" << first << std::endl;
    std::size_t answered = 0;
    for (std::uint64_t seed = first; seed < first + 30; ++seed) {
        INFO("seed " << seed);
        RelaySite site(seed);
        site.run();
        answered += site.answered();
    }
    CHECK(answered > 3'000);
}
