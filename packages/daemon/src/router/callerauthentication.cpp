#include "callerauthentication.h"

#include <algorithm>
#include <iterator>

namespace mustardpond {

namespace {

constexpr const char SCHEME[] = "Bearer ";
constexpr std::size_t SCHEME_LENGTH = sizeof(SCHEME) - 1;

struct KeyCheck {
    std::shared_ptr<const Organisation> organisation;
    KeyProblem problem = KeyProblem::None;
};

KeyCheck checkKey(const OrganisationTable &organisations, const http::fields &head)
{
    const auto [first, last] = head.equal_range(http::field::authorization);
    if (first == last) {
        return {nullptr, KeyProblem::Missing};
    }
    if (std::next(first) != last) {
        return {nullptr, KeyProblem::Repeated};
    }
    const beast::string_view value = first->value();
    const beast::string_view key = value.substr(std::min(SCHEME_LENGTH, value.size()));
    if (!beast::iequals(value.substr(0, SCHEME_LENGTH), SCHEME) || key.empty() || key.front() == ' '
        || key.front() == '\t') {
        return {nullptr, KeyProblem::Malformed};
    }
    const auto organisation = organisations.findByKey({key.data(), key.size()});
    return {organisation, organisation ? KeyProblem::None : KeyProblem::Unknown};
}

} // namespace

KeyProblem authenticate(const ConfigSnapshot &config, const RouteObject &route, const http::fields &head,
                        CallerRequest &request)
{
    if (!config.organisations()) {
        return KeyProblem::None;
    }
    request.keyRequired = !route.keyExempt && !request.inner;
    KeyCheck check;
    if (!request.inner) {
        check = checkKey(*config.organisations(), head);
    }
    request.authenticated = check.organisation;
    if (!request.organisation.empty()) {
        // The caller has named an organisation itself; operations are bound to it.
        request.organisation = check.organisation ? check.organisation->name : std::string();
    }
    if (check.organisation && check.organisation->priority) {
        request.workClass.priority = *check.organisation->priority;
    }
    if (request.keyRequired && request.mayBeInner) {
        return KeyProblem::ParentUnknown;
    }
    return request.keyRequired ? check.problem : KeyProblem::None;
}

KeyProblem checkKeyAgain(const ConfigSnapshot &config, const http::fields &head, const CallerRequest &request)
{
    const bool required = request.keyRequired && config.organisations();
    return required ? checkKey(*config.organisations(), head).problem : KeyProblem::None;
}

void replaceKeyFields(const ConfigSnapshot &config, const std::string &organisationField, CallerRequest &request)
{
    if (!config.organisations()) {
        return;
    }
    const auto isKeyField = [&organisationField](const std::unique_ptr<wire::HeaderT> &header) {
        return beast::iequals(header->name, organisationField)
            || beast::iequals(header->name, to_string(http::field::authorization));
    };
    request.headers.erase(std::remove_if(request.headers.begin(), request.headers.end(), isKeyField),
                          request.headers.end());
    if (request.authenticated) {
        auto header = std::make_unique<wire::HeaderT>();
        header->name = organisationField;
        header->value = request.authenticated->name;
        request.headers.push_back(std::move(header));
    }
}

const char *describe(KeyProblem problem)
{
    switch (problem) {
    case KeyProblem::Missing:
        return "the request has no key: send 'Authorization: Bearer' and the key of your organisation";
    case KeyProblem::Malformed:
        return "the field Authorization is malformed: send 'Bearer', one space and the key of your organisation";
    case KeyProblem::Repeated:
        return "the field Authorization occurs more than once: send it once";
    case KeyProblem::Unknown:
        return "no organisation has this key: send a valid one";
    case KeyProblem::ParentUnknown:
        return "this host was started while the request that the id names may have run: send the call again later";
    case KeyProblem::None:
        break;
    }
    return "";
}

} // namespace mustardpond
