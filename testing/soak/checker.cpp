// Records what callers, operators and workers observe, and detects violations of the platform's rules.

#include "testing/soak/checker.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace paddlepier::testing::soak
{

namespace
{

/** `loss_slack_ms` of the platform's settings: a call that is cut within this time of being sent does not count as lost. */
constexpr Duration lossSlack = absl::Milliseconds(200);

/** `grace_s` of the platform's settings plus one second: calls that break in this time are attributed to the planned stop. */
constexpr Duration stopWindow = absl::Seconds(7);

/** Statuses after which an operator does not retry its call. */
bool isRefusal(int status)
{
    return status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
}

std::uint64_t versionOf(const std::string &body)
{
    const nlohmann::json value = nlohmann::json::parse(body, nullptr, false);
    return value.is_object() ? value.value("version", std::uint64_t{0}) : 0;
}

} // namespace

void Checker::addViolation(const std::string &text)
{
    if (std::find(this->foundViolations.begin(), this->foundViolations.end(), text) == this->foundViolations.end()) {
        this->foundViolations.push_back(text);
    }
}

void Checker::violation(const std::string &text)
{
    const absl::MutexLock lock(&this->mutex);
    this->addViolation(text);
}

std::vector<std::string> Checker::violations()
{
    const absl::MutexLock lock(&this->mutex);
    return this->foundViolations;
}

void Checker::submitSent(const std::string &job, const work::JobSpecT &spec)
{
    const absl::MutexLock lock(&this->mutex);
    Job &record = this->jobs[job];
    if (record.spec.steps.empty()) {
        record.spec = spec;
    }
    ++record.submitsInFlight;
}

void Checker::submitEnded(const std::string &job, const Reply &reply)
{
    const absl::MutexLock lock(&this->mutex);
    Job &record = this->jobs.at(job);
    --record.submitsInFlight;
    ++this->answers;
    const bool isRejected = reply.ending == Ending::NotConnected || reply.status == 503 || reply.status == 429;
    if (reply.status == 200 && !record.isAccepted) {
        record.isAccepted = true;
        record.acceptedAt = reply.endedAt;
    } else if (reply.ending == Ending::Answered && reply.status >= 400 && reply.status < 500 && reply.status != 429) {
        this->addViolation(absl::StrCat("LOST: a valid job was rejected with status ", reply.status, ": ", job));
    }
    record.isUnclear = record.isUnclear || (!isRejected && reply.status != 200);
    this->checkRefused(job, record);
}

void Checker::checkRefused(const std::string &id, const Job &job)
{
    if (job.hasStarted && job.submitsInFlight == 0 && !job.isUnclear && !job.isAccepted) {
        this->addViolation(absl::StrCat("REFUSED: a task of a job that was never accepted started: ", id));
    }
}

void Checker::cancelSent(const std::string &job)
{
    const absl::MutexLock lock(&this->mutex);
    this->jobs.at(job).isCancelSent = true;
}

void Checker::cancelEnded(const std::string &job, const Reply &reply)
{
    const absl::MutexLock lock(&this->mutex);
    this->jobs.at(job).isCancelled = this->jobs.at(job).isCancelled || reply.status == 200;
}

void Checker::stateEnded(const std::string &job, const Reply &reply)
{
    const absl::MutexLock lock(&this->mutex);
    Job &record = this->jobs.at(job);
    if (reply.status == 410 && record.isAccepted && record.acceptedAt < reply.sentAt && !record.isCancelSent) {
        this->addViolation(absl::StrCat("LOST: 410 for an accepted job: ", job));
    }
    record.isUnknown = reply.status == 410 || (record.isUnknown && reply.status != 200);
    if (reply.status == 404) {
        this->addViolation(absl::StrCat("CONFIG: 404 for a queue that every version contains: ", job));
    }
    if (reply.status == 200) {
        const nlohmann::json body = nlohmann::json::parse(reply.body, nullptr, false);
        this->checkState(job, record, body.is_object() ? body.value("state", "") : "");
    }
}

void Checker::checkState(const std::string &id, Job &job, const std::string &state)
{
    const bool hadEnded = job.state == "completed" || job.state == "failed";
    if (hadEnded && state != job.state && !job.isCancelSent) {
        this->addViolation(absl::StrCat("MIXED: ", id, " was shown as ", job.state, " and then as ", state));
    }
    const auto isDone = [&](std::uint32_t step) { return isStepDone(id, job, step); };
    for (std::uint32_t step = 0; state == "completed" && step < job.spec.steps.size(); ++step) {
        if (!isDone(step) || job.spec.steps[step]->isLasting) {
            this->addViolation(absl::StrCat("MIXED: ", id, " is shown as completed, and step ", step, " isn't done"));
        }
    }
    if ((state == "failed" && !hasFailed(job)) || (state == "cancelled" && !job.isCancelSent)) {
        this->addViolation(absl::StrCat("LOST: ", id, " is shown as ", state, " without cause"));
    }
    job.state = state;
}

bool Checker::isStepDone(const std::string &id, const Job &job, std::uint32_t step)
{
    const work::StepSpecT &spec = *job.spec.steps[step];
    std::uint32_t done = 0;
    for (std::uint32_t index = 0; index < spec.count; ++index) {
        const auto task = job.tasks.find({id, 0, step, index});
        const auto isDone = [](const End &end) { return end.kind == work::RunEndKind::Done; };
        done += task != job.tasks.end() && std::any_of(task->second.ends.begin(), task->second.ends.end(), isDone) ? 1 : 0;
    }
    return done == spec.count || (spec.isGang && done > 0);
}

bool Checker::hasFailed(const Job &job)
{
    std::map<std::uint32_t, std::set<std::uint32_t>> gangs;
    for (const auto &[key, task] : job.tasks) {
        std::set<std::uint32_t> runs;
        const auto isLoss = [](const End &end) { return end.kind == work::RunEndKind::WorkerLost; };
        if (static_cast<std::size_t>(std::count_if(task.ends.begin(), task.ends.end(), isLoss)) >= minLossesToAbandon) {
            return true;
        }
        for (const End &end : task.ends) {
            if (end.kind == work::RunEndKind::Failed) {
                runs.insert(end.run);
            }
        }
        std::set<std::uint32_t> &ofStep = gangs[key.step];
        ofStep.insert(runs.begin(), runs.end());
        if (runs.size() >= attemptsPerTask || (job.spec.steps[key.step]->isGang && ofStep.size() >= attemptsPerTask)) {
            return true;
        }
    }
    return false;
}

bool Checker::isLasting(const Job &job)
{
    return std::any_of(job.spec.steps.begin(), job.spec.steps.end(), [](const auto &step) { return step->isLasting; });
}

void Checker::recordEvent(const Event &event, Timestamp now)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->jobs.find(event.task.job);
    if (found == this->jobs.end() || event.task.step >= found->second.spec.steps.size()) {
        return;
    }
    Job &job = found->second;
    Task &task = job.tasks[event.task];
    switch (event.kind) {
    case EventKind::Started:
        ++this->starts;
        job.hasStarted = true;
        task.starts.push_back(now);
        task.running.emplace(event.worker, event.run);
        this->checkStart(event.task, job);
        break;
    case EventKind::Ended:
        task.ends.push_back({now, event.end, event.run, false});
        task.running.erase({event.worker, event.run});
        break;
    case EventKind::Acknowledged:
        for (End &end : task.ends) {
            end.isAcknowledged = end.isAcknowledged || (end.run == event.run && end.kind == event.end);
        }
        break;
    }
    this->checkRepeatedStarts(event.task, job);
    this->checkRefused(event.task.job, job);
}

void Checker::checkStart(const workload::TaskKey &task, const Job &job)
{
    for (const std::uint32_t earlier : job.spec.steps[task.step]->after) {
        if (!isStepDone(task.job, job, earlier)) {
            this->addViolation(absl::StrCat("ORDER: ", task.text(), " started before step ", earlier, " was done"));
        }
    }
}

void Checker::checkRepeatedStarts(const workload::TaskKey &key, const Job &job)
{
    const Task &task = job.tasks.at(key);
    const bool isLasting = job.spec.steps[key.step]->isLasting;
    for (const Timestamp start : task.starts) {
        std::uint32_t failed = 0;
        bool isDone = false;
        for (const End &end : task.ends) {
            const bool counts = end.isAcknowledged && end.at < start;
            failed += counts && end.kind == work::RunEndKind::Failed ? 1 : 0;
            isDone = isDone || (counts && end.kind == work::RunEndKind::Done);
        }
        if (isDone && !isLasting) {
            this->addViolation(absl::StrCat("TWICE: ", key.text(), " started again after its end as done had been acknowledged"));
        }
        if (failed >= attemptsPerTask && !isLasting) {
            this->addViolation(absl::StrCat("BUDGET: ", key.text(), " started after ", failed, " failed runs"));
        }
    }
}

const work::StepSpecT &Checker::stepOf(const workload::TaskKey &task)
{
    static const work::StepSpecT placeholder = [] {
        work::StepSpecT step;
        step.count = 1;
        step.demand = std::make_unique<work::Demand>(1, 1, 0);
        return step;
    }();
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->jobs.find(task.job);
    if (found == this->jobs.end() || task.step >= found->second.spec.steps.size() || task.index >= found->second.spec.steps[task.step]->count) {
        this->addViolation(absl::StrCat("UNASKED: ", task.text(), " belongs to no submitted job"));
        return placeholder;
    }
    return *found->second.spec.steps[task.step];
}

std::string Checker::payloadOf(const std::string &job)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->jobs.find(job);
    return found == this->jobs.end() ? "" : found->second.spec.payload;
}

void Checker::configurationSent(std::uint64_t version, const std::string &body)
{
    const absl::MutexLock lock(&this->mutex);
    this->sentConfigurations[version] = body;
}

void Checker::configurationEnded(std::uint64_t version, const Reply &reply)
{
    const absl::MutexLock lock(&this->mutex);
    if (reply.status == 200 && version == 0) {
        this->addViolation("CONFIG: an invalid configuration was acknowledged");
    } else if (reply.status == 200) {
        this->acknowledged.emplace_back(reply.endedAt, version);
    } else if (version != 0 && isRefusal(reply.status)) {
        this->addViolation(absl::StrCat("CONFIG: the valid configuration ", version, " was refused with ", reply.status));
    }
}

void Checker::configurationRead(const Reply &reply)
{
    const absl::MutexLock lock(&this->mutex);
    if (reply.status != 200) {
        return;
    }
    const std::uint64_t version = versionOf(reply.body);
    const auto sent = this->sentConfigurations.find(version);
    if (version == 0 || sent == this->sentConfigurations.end() || sent->second != reply.body) {
        this->addViolation(absl::StrCat("CONFIG: version ", version, " was read back with content that was not sent"));
    }
    for (const auto &[at, known] : this->acknowledged) {
        if (at < reply.sentAt && known > version) {
            this->addViolation(absl::StrCat("CONFIG: version ", version, " was read after ", known, " had been acknowledged"));
        }
    }
}

void Checker::callEnded(const Reply &reply, Timestamp stopAt)
{
    const absl::MutexLock lock(&this->mutex);
    const bool isPlanned = stopAt <= reply.endedAt && reply.endedAt <= stopAt + stopWindow;
    if (reply.ending == Ending::Broken && isPlanned && reply.endedAt - reply.sentAt > lossSlack && !this->hasFaults) {
        this->addViolation(absl::StrCat("LOST: a planned stop cut a call ", absl::FormatDuration(reply.endedAt - reply.sentAt), " after it was sent"));
    }
}

void Checker::markFaultsStarted()
{
    const absl::MutexLock lock(&this->mutex);
    this->hasFaults = true;
}

std::vector<std::string> Checker::unsettledJobs()
{
    const absl::MutexLock lock(&this->mutex);
    std::vector<std::string> ids;
    for (const auto &[id, job] : this->jobs) {
        const bool hasEnded = job.state == "completed" || job.state == "failed" || job.state == "cancelled" || job.isUnknown;
        if ((job.isAccepted || job.isUnclear) && !hasEnded) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<std::string> Checker::unsettled()
{
    const absl::MutexLock lock(&this->mutex);
    std::vector<std::string> reasons;
    for (const auto &[id, job] : this->jobs) {
        const std::string reason = unsettled(id, job);
        if (!reason.empty()) {
            reasons.push_back(absl::StrCat(id, ": ", reason));
        }
    }
    return reasons;
}

std::string Checker::unsettled(const std::string &id, const Job &job)
{
    std::size_t running = 0;
    for (const auto &[key, task] : job.tasks) {
        running += task.running.empty() ? 0 : 1;
    }
    const bool hasEnded = job.state == "completed" || job.state == "failed" || job.state == "cancelled" || job.isUnknown;
    if ((job.isCancelled || hasEnded) && running > 0) {
        return absl::StrCat(running, " tasks still run after the job has ended or was cancelled");
    }
    if ((!job.isAccepted && !job.isUnclear) || hasEnded || job.isCancelled) {
        return "";
    }
    std::size_t wanted = 0;
    for (const auto &step : job.spec.steps) {
        wanted += step->isLasting ? step->count : 0;
    }
    if (!isLasting(job) || job.state.empty()) {
        return absl::StrCat("accepted, and shown as ", job.state.empty() ? "nothing" : job.state);
    }
    return running == wanted ? "" : absl::StrCat(running, " of ", wanted, " lasting tasks run");
}

std::size_t Checker::startCount()
{
    const absl::MutexLock lock(&this->mutex);
    return this->starts;
}

std::string Checker::summary()
{
    const absl::MutexLock lock(&this->mutex);
    std::map<std::string, std::size_t> states;
    std::size_t accepted = 0;
    for (const auto &[id, job] : this->jobs) {
        accepted += job.isAccepted ? 1 : 0;
        ++states[job.state.empty() ? "not asked for" : job.state];
    }
    std::string text =
        absl::StrCat(this->jobs.size(), " jobs, ", accepted, " accepted, ", this->starts, " starts, ", this->acknowledged.size(), " configurations");
    for (const auto &[state, count] : states) {
        absl::StrAppend(&text, ", ", count, " ", state);
    }
    return text;
}

} // namespace paddlepier::testing::soak
