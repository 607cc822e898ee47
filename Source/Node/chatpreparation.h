#pragma once

#include "Adapter/httpmessage.h"
#include "Core/admissioncontroller.h"
#include "Node/nodecontext.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sesame {

/*!
    A validated chat completion and the work item for its admission.
*/
struct PreparedChat
{
    ModelStreamPtr stream;
    WorkItem item;
};

/*!
    Validates the chat completion \a request of \a account against the fleet configuration.
    Returns std::nullopt and sets the last reason if the request is refused.
*/
std::optional<PreparedChat> prepareChat(NodeContext &context, const HttpRequest &request,
                                        const Account &account);

/*!
    Parses the token offset \a text. Returns 0 if \a text is missing, or std::nullopt if it is
    malformed.
*/
std::optional<std::uint64_t> parseOffset(const std::optional<std::string> &text);

} // namespace sesame
