// RapidCheck generators of peer messages, derived from the field lists of the codec, so that a new
// field is covered without a change here.
#pragma once

#include "net/messagecodec.h"
#include "net/messagefields.h"

#include <rapidcheck.h>

namespace Bluebellquay::Testing {

constexpr std::size_t MaxGeneratedElements = 4;

inline std::size_t generateSize()
{
    return *rc::gen::inRange<std::size_t>(0, MaxGeneratedElements);
}

inline void generate(bool &value)
{
    value = *rc::gen::arbitrary<bool>();
}
inline void generate(std::string &value)
{
    value = *rc::gen::arbitrary<std::string>();
}
inline void generate(Duration &value)
{
    value =
        Duration(*rc::gen::oneOf(rc::gen::inRange<Duration::rep>(0, 1000),
                                 rc::gen::inRange<Duration::rep>(0, MaxWireDuration.count() + 1),
                                 rc::gen::just(MaxWireDuration.count())));
}
template <std::unsigned_integral Number>
requires(!std::is_same_v<Number, bool>) void generate(Number &value)
{
    value = *rc::gen::oneOf(
        rc::gen::arbitrary<Number>(),
        rc::gen::element<Number>(0, 23, 24, 255, std::numeric_limits<Number>::max()));
}
template <typename Tag, typename Rep>
void generate(StrongId<Tag, Rep> &value)
{
    Rep number{};
    generate(number);
    value = StrongId<Tag, Rep>(number);
}
inline void generate(SubmissionId &value)
{
    Incarnation home;
    IssuePeriod period;
    Nonce nonce;
    generate(home);
    generate(period);
    generate(nonce);
    value = SubmissionId(home, period, nonce);
}
inline void generate(ProcessRole &value)
{
    value = *rc::gen::element(ProcessRole::Entry, ProcessRole::Agent);
}
inline void generate(AgentState &value)
{
    value = *rc::gen::element(AgentState::Starting, AgentState::Serving, AgentState::Leaving,
                              AgentState::Gone);
}
inline void generate(Urgency &value)
{
    value = *rc::gen::element(Urgency::Urgent, Urgency::Normal, Urgency::Background);
}
inline void generate(Outcome &value)
{
    value =
        *rc::gen::element(Outcome::Completed, Outcome::Failed, Outcome::NotRun, Outcome::Unknown);
}
inline void generate(Reason &value)
{
    value =
        *rc::gen::element(Reason::None, Reason::QueueFull, Reason::CannotFit, Reason::TaskFailed,
                          Reason::FailsEverywhere, Reason::HomeSilent, Reason::OutcomeLost);
}
inline void generate(ReplyKind &value)
{
    value = *rc::gen::element(ReplyKind::Final, ReplyKind::Running, ReplyKind::BodyMismatch,
                              ReplyKind::WrongHome, ReplyKind::NotSeen);
}
inline void generate(TaskStatus &value)
{
    value = *rc::gen::element(TaskStatus::NotStarted, TaskStatus::Running, TaskStatus::Finished,
                              TaskStatus::Lost);
}
inline void generate(RunResult &value)
{
    value = *rc::gen::element(RunResult::Done, RunResult::Failed, RunResult::Stopped,
                              RunResult::Lost, RunResult::NotStarted);
}
template <typename Value>
void generate(std::optional<Value> &value);
template <typename Element, std::size_t Size>
void generate(std::array<Element, Size> &values);
template <typename Element>
void generate(std::vector<Element> &values);

template <WireStruct Struct>
void generate(Struct &value)
{
    std::apply([&](auto... member) { (generate(value.*member), ...); }, WireFields<Struct>);
    if constexpr (std::is_same_v<Struct, Reply>) {
        if (value.answer.has_value() != (value.kind == ReplyKind::Final)) {
            value.answer.reset();
            value.kind = ReplyKind::Running;
        }
    }
}
template <typename Value>
void generate(std::optional<Value> &value)
{
    if (*rc::gen::arbitrary<bool>())
        generate(value.emplace());
}
template <typename Element, std::size_t Size>
void generate(std::array<Element, Size> &values)
{
    for (Element &value : values)
        generate(value);
}
template <typename Element>
void generate(std::vector<Element> &values)
{
    values.resize(generateSize());
    for (Element &value : values)
        generate(value);
}

template <typename Kind>
Message generateMessage()
{
    Kind value;
    generate(value);
    return value;
}

template <std::size_t... Indices>
Message generateKind(std::size_t kind, std::index_sequence<Indices...>)
{
    using Generator = Message (*)();
    static constexpr Generator Generators[] = {
        &generateMessage<std::variant_alternative_t<Indices, Message>>...};
    return Generators[kind]();
}

// Call within a property. Kind is below MessageKinds.
inline Message generateKind(std::size_t kind)
{
    return generateKind(kind, std::make_index_sequence<MessageKinds>());
}

// Some messages of any kinds. Call within a property.
inline std::vector<Message> generateBatch()
{
    std::vector<Message> messages(*rc::gen::inRange<std::size_t>(1, 4));
    for (Message &message : messages)
        message = generateKind(*rc::gen::inRange<std::size_t>(0, MessageKinds));
    return messages;
}

} // namespace Bluebellquay::Testing
