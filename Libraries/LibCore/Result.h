// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Verify.h>
#include <utility>
#include <variant>

namespace Spurtide {

/// Wraps a typed error on its way into a Result.
template<typename ErrorType>
struct Failure {
    ErrorType error;
};

template<typename ErrorType>
Failure(ErrorType) -> Failure<ErrorType>;

/// A value, or the typed reason why there is none.
template<typename ValueType, typename ErrorType>
class [[nodiscard]] Result {
public:
    // NOTE: These are implicit so that a function can return its value or a Failure as it stands.
    Result(ValueType value)
        : storage(std::in_place_index<0>, std::move(value))
    {
    }

    template<typename OtherError>
    Result(Failure<OtherError> failure)
        : storage(std::in_place_index<1>, std::move(failure.error))
    {
    }

    bool is_error() const { return this->storage.index() == 1; }
    bool has_value() const { return this->storage.index() == 0; }

    ValueType& value()
    {
        VERIFY(this->has_value());
        return *std::get_if<0>(&this->storage);
    }

    ValueType const& value() const
    {
        VERIFY(this->has_value());
        return *std::get_if<0>(&this->storage);
    }

    ErrorType const& error() const
    {
        VERIFY(this->is_error());
        return *std::get_if<1>(&this->storage);
    }

    ValueType release_value() { return std::move(this->value()); }

private:
    std::variant<ValueType, ErrorType> storage;
};

/// The value of an operation that gives nothing but success.
struct Done {
};

}

/// Evaluates to the value of a Result, or returns its error from the enclosing function.
#define TRY(expression)                                        \
    __extension__({                                            \
        auto try_result = (expression);                        \
        if (try_result.is_error())                             \
            return ::Spurtide::Failure { try_result.error() }; \
        try_result.release_value();                            \
    })
