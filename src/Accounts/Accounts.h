/// \file
/// Accounts module: client accounts, their API keys and rate limits.
#ifndef CICADAWIND_ACCOUNTS_ACCOUNTS_H
#define CICADAWIND_ACCOUNTS_ACCOUNTS_H

#include "Accounts/AccountDirectory.h"
#include "Accounts/ClientAccount.h"
#include "Accounts/RateLimit.h"

#endif
