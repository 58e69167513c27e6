// Implements the subcommands `serve`, `query` and `check`.
#include "Commands.h"

#include <LibHttp/LibHttp.h>
#include <LibOperator/LibOperator.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>

namespace Goldcrestwall {

namespace {

constexpr std::uint64_t MaxAnswerBytes = 64U << 20U;

volatile std::sig_atomic_t isStopRequested = 0;

void requestStop(int)
{
    isStopRequested = 1;
}

void waitForStopRequest()
{
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    while (isStopRequested == 0) {
        std::this_thread::sleep_for(20ms);
    }
}

Poco::Net::HTTPRequest makeStatementRequest(const QueryTarget &target, const std::string &statement)
{
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_POST, "/statement", Poco::Net::HTTPMessage::HTTP_1_1);
    request.set("Goldcrestwall-Operator", target.operator_);
    request.set("Authorization", "Bearer " + target.token_);
    request.set("Accept", target.isJson_ ? "application/json" : "text/plain");
    request.setContentLength(static_cast<std::streamsize>(statement.size()));
    return request;
}

ExitStatus exitStatusOf(unsigned status)
{
    switch (status) {
    case Poco::Net::HTTPResponse::HTTP_OK:
        return ExitStatus::Success;
    case Poco::Net::HTTPResponse::HTTP_ACCEPTED:
        return ExitStatus::Unknown;
    default:
        return ExitStatus::Refused;
    }
}

ExitStatus sendStatement(const QueryTarget &target, const std::string &statement)
{
    bool isSent = false;
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(target.address_)};
        session.setTimeout(Poco::Timespan(15, 0));
        auto request = makeStatementRequest(target, statement);
        std::ostream &output = session.sendRequest(request);
        isSent = true;
        output << statement << std::flush;
        Gateway::SessionReader reader(session, Gateway::ExpectedBody::Any, MaxAnswerBytes);
        reader.readHead();
        reader.readBody();
        std::cout << reader.response().body() << std::flush;
        return exitStatusOf(reader.response().result_int());
    } catch (const Poco::Exception &exception) {
        const char *problem = isSent ? "no complete response from " : "cannot reach ";
        std::cerr << problem << target.address_ << ": " << exception.displayText() << '\n';
        return isSent ? ExitStatus::Unknown : ExitStatus::Unavailable;
    }
}

} // namespace

ExitStatus serve(const ServeSettings &settings)
{
    auto instance = Instance::create(settings.instance_);
    if (!instance.isOk()) {
        return ExitStatus::Unavailable;
    }
    auto operators = OperatorServer::create(settings.instance_.operatorAddress_, *instance.value(), settings.bootstrapTokenHash_);
    if (!operators.isOk()) {
        return ExitStatus::Unavailable;
    }
    LOG(INFO) << "instance " << settings.instance_.coordinator_.instance_.value_ << " serves callers on " << settings.instance_.callerAddress_
              << ", instances on " << settings.instance_.peerAddress_ << ", operators on " << settings.instance_.operatorAddress_;
    waitForStopRequest();
    LOG(INFO) << "graceful stop started";
    return instance.value()->stopGracefully() ? ExitStatus::Success : ExitStatus::Unavailable;
}

ExitStatus query(const QueryTarget &target, const std::vector<std::string> &statements)
{
    for (const std::string &statement : statements) {
        const ExitStatus status = sendStatement(target, statement);
        if (status != ExitStatus::Success) {
            return status;
        }
    }
    return ExitStatus::Success;
}

ExitStatus checkFile(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << "cannot read " << file << '\n';
        return ExitStatus::Usage;
    }
    std::string text;
    Poco::StreamCopier::copyToString(stream, text);
    const ConfigurationCheck check = checkConfiguration(text);
    for (const ConfigurationProblem &problem : check.problems_) {
        std::cout << problem.path_ << ": " << problem.reason_ << '\n';
    }
    if (!check.configuration_) {
        return ExitStatus::Refused;
    }
    std::cout << file << " is a valid configuration of " << check.configuration_->customer_.value_ << '\n';
    return ExitStatus::Success;
}

} // namespace Goldcrestwall
