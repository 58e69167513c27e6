// The verdict on a request: whether it ran or may have run, and why it failed.
#pragma once

#include <LibBase/Errors.h>
#include <LibBase/Serialization.h>

#include <compare>
#include <cstdint>
#include <string>

namespace Goldcrestwall {

// Whether a backend server executed a request.
enum class Execution : std::uint8_t {
    // Certainly no backend server has run it or will run it.
    NotRun,
    // A backend server may have run it or may still run it.
    MayHaveRun,
    // A backend server ran it.
    Ran,
};

// The name of an execution state in response headers and metrics.
const char *executionName(Execution execution);

// The outcome of a failed request. A request that is not idempotent may be retried only after a NotRun verdict.
class Verdict
{
public:
    Verdict() = default;
    Verdict(Execution execution, std::error_code reason)
        : execution_(execution)
        , reason_(reason.value())
    {
    }

    static Verdict notRun(RouterError reason)
    {
        return {Execution::NotRun, make_error_code(reason)};
    }
    static Verdict mayHaveRun(RouterError reason)
    {
        return {Execution::MayHaveRun, make_error_code(reason)};
    }
    static Verdict ran(RouterError reason)
    {
        return {Execution::Ran, make_error_code(reason)};
    }

    Execution execution() const
    {
        return execution_;
    }
    std::error_code reason() const
    {
        return {reason_, routerErrorCategory()};
    }
    bool isReason(RouterError reason) const
    {
        return reason_ == static_cast<int>(reason);
    }

    bool operator==(const Verdict &) const = default;

    template<typename Packer>
    void msgpack_pack(Packer &packer) const
    {
        packer.pack_array(2);
        packer.pack(static_cast<std::uint8_t>(execution_));
        packer.pack(reason_);
    }
    void msgpack_unpack(const msgpack::object &object)
    {
        msgpack::type::tuple<std::uint8_t, int> fields;
        object.convert(fields);
        // A value that is unknown to this build must not be read as "not run", because the request could then run twice.
        execution_ = fields.get<0>() <= 2 ? static_cast<Execution>(fields.get<0>()) : Execution::MayHaveRun;
        reason_ = fields.get<1>();
    }

private:
    Execution execution_ = Execution::MayHaveRun;
    int reason_ = static_cast<int>(RouterError::ConnectionLost);
};

} // namespace Goldcrestwall
