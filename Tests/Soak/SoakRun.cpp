// Runs a series, collects what was seen and formats the findings.
#include "SoakRun.h"

#include "FaultPlayer.h"
#include "PromiseChecks.h"

#include <map>
#include <sstream>

namespace Goldcrestwall::Soak {

namespace {

constexpr Duration RecoveryBound = 15s;
// After the last call, for runs that come late.
constexpr auto SettlingTime = std::chrono::seconds(1);
constexpr std::size_t MaxFindingsShown = 4;

void formatFinding(std::ostream &out, const OnPlatform::Deployment &deployment, const Finding &finding, TimePoint startedAt)
{
    out << finding.rule_ << " at" << formatSeconds(finding.at_ - startedAt) << ", request " << finding.requestId_ << ": " << finding.text_ << '\n';
    if (finding.requestId_.empty()) {
        return;
    }
    for (const auto &line : deployment.linesForRequest(finding.requestId_)) {
        out << "    " << line << '\n';
    }
}

SoakReport makeReport(const SoakSettings &settings, const OnPlatform::Deployment &deployment, const SoakResult &result)
{
    const auto findings = checkPromises(result);
    std::map<std::string, std::size_t> counts;
    std::ostringstream details;
    for (const auto &finding : findings) {
        if (++counts[finding.rule_] <= MaxFindingsShown) {
            formatFinding(details, deployment, finding, result.play_.startedAt_);
        }
    }
    SoakReport report;
    report.findings_ = findings.size();
    std::ostringstream summary;
    const auto served = std::ranges::count_if(result.calls_, [](const CallRecord &call) {
        return call.answer_.status_ == 200;
    });
    summary << "seed " << settings.seed_ << ", " << settings.instances_ << " instances: " << result.calls_.size() << " calls, " << served << " served";
    for (const auto &[rule, count] : counts) {
        summary << ", " << rule << ' ' << count;
    }
    report.summary_ = summary.str();
    if (!findings.empty()) {
        std::ostringstream text;
        text << report.summary_ << "\nFaults:\n";
        for (const auto &line : result.play_.story_) {
            text << "  " << line << '\n';
        }
        text << details.str();
        report.text_ = text.str();
    }
    return report;
}

} // namespace

SoakReport runSoak(const SoakSettings &settings)
{
    OnPlatform::Deployment deployment(settings.instances_, OnPlatform::DeploymentNetwork::Proxies);
    SoakResult result;
    if (!deployment.awaitServing()) {
        return {1, "seed " + std::to_string(settings.seed_) + ": the deployment does not serve", "The deployment does not serve before the first fault.\n"};
    }
    SoakCallers callers(deployment);
    FaultPlayer player(deployment);
    player.play(drawFaultSeries(settings.seed_, settings.instances_, SeriesLength));
    result.hasRecovered_ = deployment.awaitServing(RecoveryBound);
    callers.stop();
    std::this_thread::sleep_for(SettlingTime);
    result.play_ = player.record();
    result.calls_ = callers.calls();
    result.runs_ = deployment.recorder().runs();
    result.arrivals_ = deployment.recorder().arrivals();
    result.holdings_ = deployment.recorder().holdings();
    result.violations_ = deployment.recorder().violations();
    const auto report = makeReport(settings, deployment, result);
    if (report.findings_ > 0 && !settings.logFolder_.empty()) {
        deployment.copyLogs(settings.logFolder_ / ("seed-" + std::to_string(settings.seed_)));
    }
    return report;
}

} // namespace Goldcrestwall::Soak
