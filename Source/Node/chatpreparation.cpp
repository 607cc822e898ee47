#include "Node/chatpreparation.h"

#include "Core/enginepools.h"
#include "Core/fleetfile.h"
#include "Node/engineselector.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace sesame {

namespace {

constexpr std::size_t maxRequestIdLength = 64;

bool isValidRequestId(std::string_view id)
{
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !id.empty() && id.size() <= maxRequestIdLength
            && std::all_of(id.begin(), id.end(), allowed);
}

std::string makeRequestId()
{
    return "r" + std::to_string(makeRandomSeed());
}

std::optional<Rank> chooseRank(const HttpRequest &request, const Account &account,
                               const Model &model)
{
    Rank rank = model.rank;
    if (const auto requestedRank = request.header("X-Rank")) {
        const auto parsed = parseRank(*requestedRank);
        if (!parsed)
            return fail(ResultCode::MalformedRequest,
                        "X-Rank: allowed are urgent, standard and batch");
        rank = *parsed;
    }
    if (std::find(account.ranks.begin(), account.ranks.end(), rank) == account.ranks.end())
        return fail(ResultCode::RankNotGranted, "the account may not use this rank");
    return rank;
}

} // namespace

std::optional<std::uint64_t> parseOffset(const std::optional<std::string> &text)
{
    if (!text)
        return 0;
    std::uint64_t value = 0;
    const char *end = text->data() + text->size();
    const auto [rest, ec] = std::from_chars(text->data(), end, value);
    if (ec != std::errc() || rest != end)
        return std::nullopt;
    return value;
}

std::optional<PreparedChat> prepareChat(NodeContext &context, const HttpRequest &request,
                                        const Account &account)
{
    const auto config = context.config();
    auto chat = parseChatRequest(request.body);
    if (!chat)
        return std::nullopt;
    const Model *model = findModel(*config, chat->model);
    if (!model)
        return fail(ResultCode::UnknownModel, "model: " + chat->model + " is not declared");
    const auto rank = chooseRank(request, account, *model);
    if (!rank)
        return std::nullopt;
    const std::string requestId = request.header("X-Request-Id").value_or(makeRequestId());
    if (!isValidRequestId(requestId))
        return fail(ResultCode::MalformedRequest,
                    "X-Request-Id: allowed are 1 to 64 letters, digits, '-', '_' and '.'");
    const auto offset = parseOffset(request.header("X-Resume-From"));
    if (!offset || (*offset > 0) != !chat->receivedText.empty())
        return fail(ResultCode::MalformedRequest,
                    "X-Resume-From: must count the tokens of the last assistant message");
    WorkItem item;
    item.pool = findEnginePool(groupEnginePools(*config), chat->model);
    item.rank = *rank;
    item.account = account.name;
    item.accountShare = account.share;
    item.promptTokens = static_cast<std::uint32_t>(estimateTokenCount(chat->prompt));
    item.outputTokens = static_cast<std::uint32_t>(chat->maxTokens);
    item.deadline = context.clock.now() + config->ranks[static_cast<std::size_t>(*rank)].queueLimit;
    StreamStart start {.requestId = requestId,
                       .account = account.name,
                       .lastAttempt = 0,
                       .offset = *offset,
                       .text = chat->receivedText};
    auto stream = std::make_shared<ModelStream>(
            ModelStreamOptions {.account = account.name,
                                .requestId = requestId,
                                .rank = *rank,
                                .request = std::move(*chat),
                                .start = std::move(start),
                                .arrivedAt = context.clock.now()});
    return PreparedChat {.stream = std::move(stream), .item = std::move(item)};
}

} // namespace sesame
