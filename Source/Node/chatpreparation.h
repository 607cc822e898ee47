#pragma once

#include "Adapter/httpmessage.h"
#include "Core/admissioncontroller.h"
#include "Node/nodecontext.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sesame {

/*!
    A chat completion that was checked, with what admission needs to know about it.
*/
struct PreparedChat
{
    ModelStreamPtr stream;
    WorkItem item;
};

/*!
    Checks the chat completion \a request of \a account against the fleet configuration.
    Returns std::nullopt with a last reason if it is refused.
*/
std::optional<PreparedChat> prepareChat(NodeContext &context, const HttpRequest &request,
                                        const Account &account);

/*!
    Returns the token offset \a text, 0 if it is missing, or std::nullopt if it is malformed.
*/
std::optional<std::uint64_t> parseOffset(const std::optional<std::string> &text);

} // namespace sesame
