// Records of requests that must not be repeated.

#include "paddlepier/ledger/requesttable.h"

#include <absl/strings/str_cat.h>

namespace paddlepier::ledger
{

namespace
{

/** Names of partners contain no slash, so that two different pairs never have the same key. */
std::string recordKey(std::string_view partner, std::string_view key)
{
    return absl::StrCat(std::string(partner), "/", std::string(key));
}

} // namespace

OpenOutcome RequestTable::open(const wire::OpenRequestT &request)
{
    const std::string name = recordKey(request.partner, request.key);
    const auto found = this->records.find(name);
    if (found != this->records.end()) {
        // The same attempt repeats its request after a lost reply. It sends nothing before the key is accepted.
        if (found->second.requestId == request.requestId && !found->second.answer) {
            return OpenOutcome::Accepted;
        }
        return found->second.digest == request.digest ? OpenOutcome::Known : OpenOutcome::KeyReused;
    }
    if (this->records.size() >= maxRequests) {
        return OpenOutcome::TableFull;
    }
    wire::RequestRecordT record;
    record.partner = request.partner;
    record.key = request.key;
    record.digest = request.digest;
    record.requestId = request.requestId;
    record.deadlineMicros = request.deadlineMicros;
    this->byDeadline.emplace(record.deadlineMicros, name);
    this->records.emplace(name, std::move(record));
    return OpenOutcome::Accepted;
}

bool RequestTable::close(const wire::CloseRequestT &request)
{
    const std::string name = recordKey(request.partner, request.key);
    const auto found = this->records.find(name);
    if (found == this->records.end() || found->second.requestId != request.requestId || found->second.answer) {
        return false;
    }
    if (request.answer->outcome == wire::RequestOutcome::NotRun) {
        this->byDeadline.erase({found->second.deadlineMicros, name});
        this->records.erase(found);
        return true;
    }
    found->second.answer = std::make_unique<wire::RecordedAnswerT>(*request.answer);
    return true;
}

void RequestTable::removeExpired(std::int64_t atMicros)
{
    while (!this->byDeadline.empty() && this->byDeadline.begin()->first + requestRetentionMicros < atMicros) {
        this->records.erase(this->byDeadline.begin()->second);
        this->byDeadline.erase(this->byDeadline.begin());
    }
}

const wire::RequestRecordT *RequestTable::find(std::string_view partner, std::string_view key) const
{
    const auto found = this->records.find(recordKey(partner, key));
    return found == this->records.end() ? nullptr : &found->second;
}

std::size_t RequestTable::size() const
{
    return this->records.size();
}

std::vector<std::unique_ptr<wire::RequestRecordT>> RequestTable::pack() const
{
    std::vector<std::unique_ptr<wire::RequestRecordT>> packed;
    for (const auto &[deadline, name] : this->byDeadline) {
        packed.push_back(std::make_unique<wire::RequestRecordT>(this->records.at(name)));
    }
    return packed;
}

void RequestTable::restore(const std::vector<std::unique_ptr<wire::RequestRecordT>> &packed)
{
    this->records.clear();
    this->byDeadline.clear();
    for (const std::unique_ptr<wire::RequestRecordT> &record : packed) {
        const std::string name = recordKey(record->partner, record->key);
        this->byDeadline.emplace(record->deadlineMicros, name);
        this->records.emplace(name, *record);
    }
}

} // namespace paddlepier::ledger
