#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>

/*!
    Calls \a run with each of the \a fixed seeds or, if the environment variable
    SESAME_SEEDS=N is set, with N new ones; SESAME_SEED=S runs only the seed S. \a run returns an
    empty text or a description of the failure. Prints the seed of each failure and returns the
    number of failures; an invariant that ends the program prints its seed too.
*/
int runSeeds(std::initializer_list<std::uint64_t> fixed,
             const std::function<std::string(std::uint64_t seed)> &run);
