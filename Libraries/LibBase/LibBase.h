// Public header of LibBase: identifiers, versions of the store, time, results, errors, verdicts, hashing and serialization, shared by all other libraries.
#pragma once

#include <LibBase/ChangeNote.h>
#include <LibBase/Errors.h>
#include <LibBase/Hash.h>
#include <LibBase/Identifiers.h>
#include <LibBase/Result.h>
#include <LibBase/Serialization.h>
#include <LibBase/StoreVersion.h>
#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
