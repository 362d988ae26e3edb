#include "standins/taskprogram.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace Bluebellquay {

namespace {

using Json = nlohmann::json;

constexpr double MaxRunMs = 3'600'000;

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::optional<TaskProgram> TaskProgram::parse(std::string_view payload)
{
    const Json json = Json::parse(payload, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    TaskProgram program;
    for (const auto &[key, value] : json.items()) {
        if (key == "run_ms" && value.is_number() && value.get<double>() >= 0
            && value.get<double>() <= MaxRunMs)
            program.runTime = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli>(value.get<double>()));
        else if (key == "fail" && value.is_boolean())
            program.fail = value.get<bool>();
        else if (key == "echo" && value.is_string())
            program.echo = value.get<std::string>();
        else
            return std::nullopt;
    }
    return program;
}

std::string TaskProgram::toPayload() const
{
    const double runMs = std::chrono::duration<double, std::milli>(runTime).count();
    return dump({{"run_ms", runMs}, {"fail", fail}, {"echo", echo}});
}

std::string TaskProgram::output(std::string_view task) const
{
    return dump({{"task", task}, {"echo", echo}});
}

} // namespace Bluebellquay
