#include "Core/claimshard.h"

#include "Core/lastreason.h"
#include "Core/wireformat.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <iterator>
#include <memory>
#include <utility>

namespace sesame {

namespace {

constexpr std::int32_t shardFormatVersion = 1;
constexpr std::uint32_t maxShardCount = 65'536;
constexpr std::size_t hashBytes = 16;
// The field headers, numbers and three 16-byte values of a record take at most 119 bytes.
constexpr std::size_t recordOverheadBytes = 128;
constexpr std::size_t shardOverheadBytes = 32;

std::string hashParts(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(),
                                                                          &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part : parts) {
        // Hashing the length distinguishes ("ab", "c") from ("a", "bc").
        const std::uint64_t length = part.size();
        EVP_DigestUpdate(context.get(), &length, sizeof length);
        EVP_DigestUpdate(context.get(), part.data(), part.size());
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    return {digest.begin(), digest.begin() + hashBytes};
}

} // namespace

std::string computeClaimKey(std::string_view account, std::string_view idempotencyKey)
{
    return hashParts({account, idempotencyKey});
}

std::string computeCallFingerprint(std::initializer_list<std::string_view> parts)
{
    return hashParts(parts);
}

std::uint32_t claimShardIndex(std::string_view key, std::uint32_t shards)
{
    std::uint32_t prefix = 0;
    std::memcpy(&prefix, key.data(), std::min(key.size(), sizeof prefix));
    return prefix % shards;
}

std::string claimShardObjectKey(std::uint32_t shard)
{
    std::array<char, 24> name {};
    std::snprintf(name.data(), name.size(), "ledger/%03u", shard);
    return name.data();
}

std::optional<std::uint32_t> parseShardCount(std::string_view text)
{
    std::uint32_t shards = 0;
    const auto [it, ec] = std::from_chars(text.data(), text.data() + text.size(), shards);
    if (ec != std::errc() || it != text.data() + text.size() || shards == 0
        || shards > maxShardCount) {
        return fail(ResultCode::StoreUnavailable,
                    "ledger/layout: \"" + std::string(text) + "\" is not a number from 1 to "
                            + std::to_string(maxShardCount));
    }
    return shards;
}

std::string makeAttemptId(std::uint64_t incarnation, std::uint64_t number)
{
    std::string id(2 * sizeof(std::uint64_t), '\0');
    std::memcpy(id.data(), &incarnation, sizeof incarnation);
    std::memcpy(id.data() + sizeof incarnation, &number, sizeof number);
    return id;
}

RecordedAnswer makeRecordedAnswer(const wire::ClaimRecord &record)
{
    const auto state = static_cast<ClaimState>(record.state);
    Outcome outcome = Outcome::Unknown;
    if (state == ClaimState::Complete)
        outcome = Outcome::Complete;
    else if (state == ClaimState::Failed)
        outcome = Outcome::Failed;
    return {.outcome = outcome,
            .code = static_cast<ResultCode>(record.code),
            .httpStatus = record.httpStatus,
            .contentType = record.contentType,
            .body = record.answer,
            .bodyOmitted = record.answerOmitted,
            .fromStatusLookup = record.fromStatusLookup};
}

std::optional<ClaimShard> ClaimShard::decode(std::string_view text)
{
    const auto records = decodeWire<wire::ClaimRecords>(text);
    if (!records)
        return std::nullopt;
    if (records->format != shardFormatVersion) {
        return fail(ResultCode::StoreUnavailable,
                    "claims have format " + std::to_string(records->format) + ", expected "
                            + std::to_string(shardFormatVersion));
    }
    ClaimShard shard;
    for (const wire::ClaimRecord &record : records->records)
        shard.insert(record);
    return shard;
}

std::string ClaimShard::encode() const
{
    wire::ClaimRecords records;
    records.format = shardFormatVersion;
    records.records.reserve(m_records.size());
    for (const auto &[key, record] : m_records)
        records.records.push_back(record);
    return encodeWire(records);
}

const wire::ClaimRecord *ClaimShard::find(std::string_view key) const
{
    const auto it = m_records.find(key);
    return it == m_records.end() ? nullptr : &it->second;
}

void ClaimShard::insert(const wire::ClaimRecord &record)
{
    erase(record.key);
    if (m_records.empty())
        m_sizeBound = shardOverheadBytes;
    m_sizeBound += recordSizeBound(record);
    m_records.emplace(record.key, record);
}

void ClaimShard::erase(std::string_view key)
{
    const auto it = m_records.find(key);
    if (it == m_records.end())
        return;
    m_sizeBound -= recordSizeBound(it->second);
    m_records.erase(it);
}

void ClaimShard::setAnswer(std::string_view key, const RecordedAnswer &answer,
                           std::size_t bodyLimitBytes, std::size_t shardLimitBytes)
{
    const wire::ClaimRecord *found = find(key);
    if (!found)
        return;
    wire::ClaimRecord record = *found;
    ClaimState state = ClaimState::Unknown;
    if (answer.outcome == Outcome::Complete)
        state = ClaimState::Complete;
    else if (answer.outcome == Outcome::Failed)
        state = ClaimState::Failed;
    record.state = static_cast<std::int32_t>(state);
    record.code = static_cast<std::int32_t>(answer.code);
    record.httpStatus = answer.httpStatus;
    record.fromStatusLookup = answer.fromStatusLookup;
    const std::size_t added = answer.contentType.size() + answer.body.size();
    record.answerOmitted = answer.bodyOmitted || added > bodyLimitBytes
            || m_sizeBound + added > shardLimitBytes;
    record.contentType = record.answerOmitted ? std::string() : answer.contentType;
    record.answer = record.answerOmitted ? std::string() : answer.body;
    insert(record);
}

void ClaimShard::dropExpired(WallMillis claimedBefore)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        const auto next = std::next(it);
        if (it->second.claimedAtMillis < claimedBefore) {
            m_sizeBound -= recordSizeBound(it->second);
            m_records.erase(it);
        }
        it = next;
    }
}

std::size_t ClaimShard::recordSizeBound(const wire::ClaimRecord &record)
{
    return recordOverheadBytes + record.node.size() + record.contentType.size()
            + record.answer.size();
}

} // namespace sesame
