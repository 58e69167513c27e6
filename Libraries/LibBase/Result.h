// Result type: a value or an error code.
#pragma once

#include <glog/logging.h>

#include <system_error>
#include <utility>
#include <variant>

namespace Goldcrestwall {

// Holds either a value or the error that prevented it. Calling value() on a failed result is a programming error and aborts.
template<typename T>
class [[nodiscard]] Result
{
public:
    Result(T value)
        : content_(std::move(value))
    {
    }
    Result(std::error_code error)
        : content_(error)
    {
        CHECK(error) << "a failed result needs an error";
    }
    template<typename Enum>
    requires std::is_error_code_enum_v<Enum> Result(Enum error)
        : Result(make_error_code(error))
    {
    }

    bool isOk() const
    {
        return std::holds_alternative<T>(content_);
    }
    const T &value() const &
    {
        CHECK(isOk()) << error().message();
        return std::get<T>(content_);
    }
    T &value() &
    {
        CHECK(isOk()) << error().message();
        return std::get<T>(content_);
    }
    T &&value() &&
    {
        CHECK(isOk()) << error().message();
        return std::get<T>(std::move(content_));
    }
    // The error of a failed result; an empty error code for a successful one.
    std::error_code error() const
    {
        return isOk() ? std::error_code() : std::get<std::error_code>(content_);
    }

private:
    std::variant<T, std::error_code> content_;
};

} // namespace Goldcrestwall
