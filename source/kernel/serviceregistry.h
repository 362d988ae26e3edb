// Registry of the services of a daemon: its parts find each other by name, so that they need not
// include each other's headers or be constructed in a certain order.
#pragma once

#include <boost/leaf.hpp>

#include <any>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Bluebellquay {

// Reported by find() when no service has the name, or it has another type.
struct ServiceNotFound
{
    std::string name;
};

// Reported by add() when the name is taken.
struct ServiceNameTaken
{
    std::string name;
};

// Holds references only; whoever adds a service keeps it alive until the registry is gone.
class ServiceRegistry
{
public:
    template <typename Service>
    boost::leaf::result<void> add(std::string_view name, Service &service)
    {
        const auto [position, inserted] = m_services.try_emplace(std::string(name), &service);
        if (!inserted)
            return boost::leaf::new_error(ServiceNameTaken{std::string(name)});
        return {};
    }

    template <typename Service>
    boost::leaf::result<std::reference_wrapper<Service>> find(std::string_view name) const
    {
        const auto position = m_services.find(name);
        if (position == m_services.end())
            return boost::leaf::new_error(ServiceNotFound{std::string(name)});
        Service *const *service = std::any_cast<Service *>(&position->second);
        if (service == nullptr)
            return boost::leaf::new_error(ServiceNotFound{std::string(name)});
        return std::ref(**service);
    }

private:
    // Each value is a Service pointer; names are unique.
    std::map<std::string, std::any, std::less<>> m_services;
};

} // namespace Bluebellquay
