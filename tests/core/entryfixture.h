// An EntryCore under virtual time with in-memory agents, for the tests of the entry.
#pragma once

#include "core/entrycore.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Bluebellquay {

inline std::shared_ptr<const RuleSet> sampleRules()
{
    auto rules = std::make_shared<RuleSet>();
    BranchRule &hinokuni = rules->branches["hinokuni"];
    hinokuni.kinds["search"].allowRaise = true;
    hinokuni.kinds["checkout"].requiresReference = true;
    BranchRule &maras = rules->branches["maras"];
    maras.kinds["closing"].urgency = Urgency::Urgent;
    maras.kinds["closing"].requiresReference = true;
    maras.kinds["tally"];
    maras.teamQuotas["scale"] = 0.5;
    return rules;
}

inline bluebellquay::v1::SubmitRequest sampleSubmit(const SubmissionId &id, int tasks = 1)
{
    bluebellquay::v1::SubmitRequest request;
    request.set_id(id.toString());
    request.set_attempt(1);
    request.mutable_job()->set_branch("hinokuni");
    request.mutable_job()->set_kind("search");
    for (int i = 0; i < tasks; ++i)
        request.mutable_job()->add_tasks()->set_payload("payload " + std::to_string(i));
    return request;
}

class EntryFixture
{
public:
    explicit EntryFixture(EntryCoreSettings settings = {})
    {
        settings.self.incarnation = Incarnation(1);
        settings.self.role = ProcessRole::Entry;
        settings.self.name = "entry";
        settings.self.dataCentre = "fukuoka";
        settings.self.region = "kyushu";
        auto created = EntryCore::create(settings, [this] { return Nonce(++m_lastNonce); });
        REQUIRE(created);
        core = std::move(created.value());
        core->setRules(sampleRules());
    }

    static ProcessInfo agent(std::uint64_t incarnation, const std::string &dataCentre = "fukuoka")
    {
        ProcessInfo info;
        info.incarnation = Incarnation(incarnation);
        info.name = "agent-" + std::to_string(incarnation);
        info.dataCentre = dataCentre;
        info.region = dataCentre == "lima" ? "andes" : "kyushu";
        info.address = "127.0.0.1:" + std::to_string(incarnation);
        return info;
    }

    void link(const ProcessInfo &info, AgentState state = AgentState::Serving)
    {
        core->peerUp(now, info, out);
        beat(info.incarnation, state);
    }
    void beat(Incarnation from, AgentState state = AgentState::Serving, std::uint32_t freeSlots = 8,
              std::uint32_t period = 7)
    {
        Heartbeat heartbeat;
        heartbeat.issuePeriod = IssuePeriod(period);
        heartbeat.state = state;
        heartbeat.load.slots = 8;
        heartbeat.load.freeSlots = freeSlots;
        core->handle(now, from, heartbeat);
        collect();
    }
    void unlink(std::uint64_t incarnation) { core->peerDown(now, Incarnation(incarnation)); }

    SubmissionId newId(std::uint64_t home)
    {
        return SubmissionId(Incarnation(home), IssuePeriod(7), Nonce(++m_lastNonce + 1'000'000));
    }
    CallId submit(const bluebellquay::v1::SubmitRequest &request,
                  std::optional<Duration> timeout = Duration(1'000'000))
    {
        core->submit(now, nextCall(), request, timeout, out);
        collect();
        return m_lastCall;
    }
    CallId submit(const SubmissionId &id) { return submit(sampleSubmit(id)); }
    CallId await(const SubmissionId &id)
    {
        core->await(now, nextCall(), id.toString(), Duration(1'000'000), out);
        collect();
        return m_lastCall;
    }

    void reply(std::uint64_t from, const Message &call, ReplyKind kind,
               std::optional<Answer> answer = std::nullopt)
    {
        Reply reply;
        reply.kind = kind;
        reply.answer = std::move(answer);
        std::visit(
            [&](const auto &request) {
                if constexpr (requires { request.id; })
                    reply.id = request.id;
                if constexpr (requires { request.correlation; })
                    reply.correlation = request.correlation;
            },
            call);
        core->handle(Incarnation(from), reply, out);
        collect();
    }
    static Answer completed(std::vector<std::string> outputs)
    {
        return Answer{Outcome::Completed, Reason::None, {}, std::nullopt, std::move(outputs)};
    }

    // Advances the time; each timer runs at its due time.
    void pass(Duration duration)
    {
        const TimePoint end = now + duration;
        core->advance(now, out);
        collect();
        int turns = 0;
        while (core->nextWakeup() <= end) {
            REQUIRE(++turns < 1'000'000); // What is due has to be done.
            now = std::max(now, core->nextWakeup());
            core->advance(now, out);
            collect();
        }
        now = end;
        core->advance(now, out);
        collect();
    }

    void collect()
    {
        for (EntryEnvelope &envelope : out.messages)
            sent[envelope.to].push_back(envelope.message);
        for (CallEnd &end : out.ends) {
            const bool first = ends.emplace(end.call, std::move(end.result)).second;
            CHECK(first); // A call ends once.
        }
        out.clear();
    }

    // Messages of one type that were sent to an agent, oldest first.
    template <typename Type>
    std::vector<Type> sentTo(std::uint64_t incarnation) const
    {
        std::vector<Type> messages;
        const auto position = sent.find(Incarnation(incarnation));
        if (position == sent.end())
            return messages;
        for (const SharedMessage &message : position->second) {
            if (const auto *typed = std::get_if<Type>(message.get()))
                messages.push_back(*typed);
        }
        return messages;
    }

    bool open(CallId call) const { return !ends.contains(call); }
    // Nothing if the call is open or has ended with an error.
    std::optional<Answer> answer(CallId call) const
    {
        const auto position = ends.find(call);
        if (position == ends.end())
            return std::nullopt;
        const auto *state = std::get_if<SubmissionState>(&position->second);
        return state == nullptr ? std::nullopt : state->answer;
    }
    std::optional<CallErrorKind> error(CallId call) const
    {
        const auto position = ends.find(call);
        if (position == ends.end())
            return std::nullopt;
        const auto *failure = std::get_if<CallError>(&position->second);
        return failure == nullptr ? std::nullopt : std::optional(failure->kind);
    }

    CallId nextCall() { return m_lastCall = m_lastCall.next(); }

    TimePoint now;
    EntryOutbox out;
    std::unique_ptr<EntryCore> core;
    std::map<Incarnation, std::vector<SharedMessage>> sent;
    std::map<CallId, CallResult> ends;

private:
    CallId m_lastCall;
    std::uint64_t m_lastNonce = 0;
};

} // namespace Bluebellquay
