// Lookups in a customer's configuration, and the hash of credentials.
#include <LibConfiguration/Configuration.h>

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

#include <algorithm>

namespace Goldcrestwall {

const ServerConfiguration *ServiceConfiguration::findServer(const ServerId &server) const
{
    const auto position = std::find_if(servers_.begin(), servers_.end(), [&](const ServerConfiguration &candidate) {
        return candidate.id_ == server;
    });
    return position == servers_.end() ? nullptr : &*position;
}

const AccessPolicy *ServiceConfiguration::findAccessPolicy(const CustomerId &customer) const
{
    const auto position = std::find_if(accessPolicies_.begin(), accessPolicies_.end(), [&](const AccessPolicy &candidate) {
        return candidate.customer_ == customer;
    });
    return position == accessPolicies_.end() ? nullptr : &*position;
}

const ServiceConfiguration *CustomerConfiguration::findService(const ServiceId &service) const
{
    const auto position = std::find_if(services_.begin(), services_.end(), [&](const ServiceConfiguration &candidate) {
        return candidate.id_ == service;
    });
    return position == services_.end() ? nullptr : &*position;
}

DomainState CustomerConfiguration::domainState(const DomainId &domain) const
{
    const auto position = std::find_if(domains_.begin(), domains_.end(), [&](const DomainConfiguration &candidate) {
        return candidate.id_ == domain;
    });
    return position == domains_.end() ? DomainState::Out : position->state_;
}

bool CustomerConfiguration::isServing(const ServerConfiguration &server) const
{
    return server.state_ == ServerState::In && domainState(server.domain_) == DomainState::In;
}

std::vector<ServerId> CustomerConfiguration::servingServers(const ServiceConfiguration &service) const
{
    std::vector<ServerId> serving;
    for (const ServerConfiguration &server : service.servers_) {
        if (isServing(server)) {
            serving.push_back(server.id_);
        }
    }
    return serving;
}

std::string hashCredential(std::string_view credential)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(credential.data(), credential.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

} // namespace Goldcrestwall
