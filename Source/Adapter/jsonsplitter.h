#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    Splits a JSON text into its outermost elements without parsing them, so that one of them which
    cannot be parsed does not make the others unreadable.
*/
class JsonSplitter
{
public:
    struct Member
    {
        std::string_view key; //!< Without the quotes; escapes are not resolved.
        std::string_view value;
    };

    /*!
        Returns the texts of the elements of the array \a text, or std::nullopt if it is no array or
        its brackets and quotes are not balanced.
    */
    static std::optional<std::vector<std::string_view>> splitArray(std::string_view text);

    /*!
        Returns the members of the object \a text, or std::nullopt if it is no object or its
       brackets and quotes are not balanced.
    */
    static std::optional<std::vector<Member>> splitObject(std::string_view text);

    /*!
        Returns the text of the member \a key of the object \a text, or an empty text.
    */
    static std::string_view findMember(std::string_view text, std::string_view key);

    /*!
        Returns the content of the JSON string \a text with its escapes resolved, or std::nullopt if
        it is no string. The content may be no UTF-8 and contain any control character. Escaped
        surrogates are not resolved; a text with one is no string.
    */
    static std::optional<std::string> unquote(std::string_view text);

private:
    static std::optional<std::vector<std::string_view>> split(std::string_view text, char open,
                                                              char close);
};

} // namespace sesame
